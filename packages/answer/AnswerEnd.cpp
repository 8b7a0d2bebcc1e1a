#include "answer/AnswerEnd.h"

namespace pimento {

AnswerEnd judgeEnd(const EndedAnswer &A) {
  if (!A.IsEvents)
    return AnswerEnd::Complete;
  if (A.IsWithinEvent)
    return AnswerEnd::BrokenOff;
  bool MayBeEmpty = A.IsRest && A.IsDelimited;
  if (!A.HasEvents && !MayBeEmpty)
    return AnswerEnd::BrokenOff;
  if (A.IsDelimited)
    return AnswerEnd::Complete;
  return A.IsEngine ? AnswerEnd::Unconfirmed : AnswerEnd::Complete;
}

} // namespace pimento
