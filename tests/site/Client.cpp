#include "site/Client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace pimento::site {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";

sockaddr_in parseAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port =
      htons(static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Target.sin_addr);
  return Target;
}

std::string headerOf(const std::string &Head, const std::string &Name) {
  std::size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "";
  At += Name.size() + 4;
  return Head.substr(At, Head.find("\r\n", At) - At);
}

/// Joins the chunks of a chunked body. False if the last chunk is missing.
bool readChunks(std::string_view Bytes, std::string &Body) {
  for (;;) {
    std::size_t Line = Bytes.find("\r\n");
    if (Line == std::string_view::npos)
      return false;
    std::size_t Size =
        std::strtoul(std::string(Bytes.substr(0, Line)).c_str(), nullptr, 16);
    Bytes.remove_prefix(Line + 2);
    if (Size == 0)
      return true;
    Body += Bytes.substr(0, Size);
    if (Bytes.size() < Size + 2)
      return false;
    Bytes.remove_prefix(Size + 2);
  }
}

} // namespace

TimePoint now() { return std::chrono::steady_clock::now(); }

void pause(Duration D) { std::this_thread::sleep_for(D); }

Connection::Connection(const std::string &Address)
    : Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in Target = parseAddress(Address);
  Connected = ::connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                        sizeof(Target)) == 0;
}

Connection::~Connection() { ::close(Socket); }

void Connection::write(const std::string &Bytes) const {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Size =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return;
    Sent += static_cast<std::size_t>(Size);
  }
}

bool Connection::read(TimePoint Until) {
  auto Left = static_cast<int>(toMilliseconds(Until - now()));
  pollfd Poll{Socket, POLLIN, 0};
  if (Closed || Left <= 0 || ::poll(&Poll, 1, Left) <= 0)
    return false;
  char Chunk[16384];
  ssize_t Size = ::recv(Socket, Chunk, sizeof(Chunk), 0);
  Closed = Size <= 0;
  if (!Closed)
    Received.append(Chunk, static_cast<std::size_t>(Size));
  return !Closed;
}

bool Connection::readAll(TimePoint Until) {
  while (read(Until)) {
  }
  return Closed;
}

std::string textOf(const Request &R) {
  std::string Text = R.Method + " " + R.Path +
                     " HTTP/1.1\r\nHost: " + R.Address +
                     "\r\nConnection: close\r\n";
  if (!R.Token.empty())
    Text += "Authorization: Bearer " + R.Token + "\r\n";
  for (const HttpHeader &Header : R.Headers)
    Text += Header.Name + ": " + Header.Value + "\r\n";
  if (!R.Body.empty() || R.Method != "GET")
    Text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(R.Body.size()) + "\r\n";
  return Text + "\r\n" + R.Body;
}

Reply readReply(const std::string &Bytes) {
  Reply R;
  std::size_t End = Bytes.find(HeadEnd);
  constexpr std::size_t StatusAt = 9; // Offset behind "HTTP/1.1 ".
  if (End == std::string::npos || Bytes.compare(0, 5, "HTTP/") != 0)
    return R;
  R.Status = std::atoi(Bytes.c_str() + StatusAt);
  std::string Head = Bytes.substr(0, End + 2);
  std::string_view Rest(Bytes);
  Rest.remove_prefix(End + HeadEnd.size());
  std::string Length = headerOf(Head, "Content-Length");
  if (Length.empty()) {
    R.Complete = readChunks(Rest, R.Body);
    return R;
  }
  R.Body = Rest;
  R.Complete = R.Body.size() == std::stoul(Length);
  return R;
}

Reply exchange(const Request &R, Duration Timeout) {
  TimePoint Started = now();
  Connection Link(R.Address);
  if (Link.connected()) {
    Link.write(textOf(R));
    Link.readAll(Started + Timeout);
  }
  Reply Answer = readReply(Link.Received);
  Answer.Started = Started;
  Answer.Elapsed = now() - Started;
  return Answer;
}

Json jsonOf(const Reply &R) {
  return Json::parse(R.Body, nullptr, /*allow_exceptions=*/false);
}

int codeOf(const Reply &R) {
  Json Body = jsonOf(R);
  return Body.is_object() ? Body.value("code", -1) : -1;
}

bool isFinal(const Reply &R) {
  return R.Complete && (R.Status == 200 || codeOf(R) > 0);
}

} // namespace pimento::site
