// The commands that the leader of the claims proposes.

#include "calls/ClaimsInternal.h"

namespace pimento::calls {

namespace {

ClaimCommand commandOf(ClaimCommandKind Kind, const ClaimKey &Key,
                       const RequestId &Request) {
  ClaimCommand Command;
  Command.Kind = Kind;
  Command.Request = Request;
  Command.Key = Key;
  return Command;
}

} // namespace

ClaimCommand turnCommand(const ClaimKey &Key, const RequestId &Request) {
  return commandOf(ClaimCommandKind::Turn, Key, Request);
}

ClaimCommand claimCommand(const ClaimKey &Key, const HostId &Host,
                          const ClaimRequest &Received) {
  ClaimCommand Command =
      commandOf(ClaimCommandKind::Claim, Key, Received.Request);
  Command.Host = Host;
  Command.Incarnation = Received.Incarnation;
  Command.BodySha256 = Received.BodySha256;
  Command.TimeLeft = Received.TimeLeft;
  Command.Retention = Received.Retention;
  return Command;
}

ClaimCommand lostCommand(const ClaimKey &Key, const RequestId &Owner) {
  return commandOf(ClaimCommandKind::Lost, Key, Owner);
}

ClaimCommand finishCommand(const ClaimResult &Ended) {
  ClaimCommand Command =
      commandOf(ClaimCommandKind::Finish, Ended.Key, Ended.Request);
  Command.End = Ended.End;
  Command.Status = Ended.Status;
  Command.ContentType = Ended.ContentType;
  Command.Body = Ended.Body;
  Command.Truncated = Ended.Truncated;
  return Command;
}

} // namespace pimento::calls
