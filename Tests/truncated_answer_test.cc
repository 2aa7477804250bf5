// Answers of a server that stops in the middle and closes or resets the
// connection. Guards against a caller getting an answer with an empty or short
// body that is framed as whole.
#define BOOST_TEST_MODULE truncated_answer
#include <arpa/inet.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "relay/relay.h"
#include "relay_harness.h"

namespace vanillatiller {
namespace {

struct AnswerForm {
  const char* what;
  std::string head;
  std::string body;
  // Whether an orderly close ends the body.
  bool ends_with_connection = false;
};

const std::vector<AnswerForm> kForms = {
    {"length", "HTTP/1.1 200 OK\r\nTest-Id: r\r\nContent-Length: 5\r\n\r\n",
     "whole"},
    {"chunks",
     "HTTP/1.1 200 OK\r\nTest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n",
     "5\r\nwhole\r\n0\r\n\r\n"},
    {"chunks and a trailer",
     "HTTP/1.1 200 OK\r\nTest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n",
     "5\r\nwhole\r\n0\r\nX: y\r\n\r\n"},
    {"no length", "HTTP/1.1 200 OK\r\nTest-Id: r\r\n\r\n", "whole", true},
    {"interim answer before it",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: r\r\n"
     "Content-Length: 5\r\n\r\n",
     "whole"},
    {"failure without a body",
     "HTTP/1.1 500 Oops\r\nTest-Id: r\r\nContent-Length: 0\r\n\r\n", ""},
};

// Reads `text` in pieces of `piece` bytes, then the end of the connection.
// Returns the last final response, if it is complete.
std::optional<ParsedMessage> ReadToEof(std::string_view text, size_t piece) {
  HttpReader reader(HttpReader::Kind::kResponses, {});
  for (size_t at = 0; at < text.size(); at += piece) {
    std::string_view data = text.substr(at, piece);
    while (!data.empty()) {
      const HttpReader::Result result = reader.Read(&data);
      if (result == HttpReader::Result::kNeedsMore) break;
      if (result != HttpReader::Result::kMessage) return std::nullopt;
      ParsedMessage message = reader.Take();
      if (message.status >= 200) return message;
    }
  }
  if (reader.ReadEof() != HttpReader::Result::kMessage) return std::nullopt;
  return reader.Take();
}

BOOST_AUTO_TEST_CASE(NoPrefixIsACompleteAnswer) {
  for (const AnswerForm& form : kForms) {
    const std::string whole = form.head + form.body;
    for (size_t size = 0; size <= whole.size(); ++size) {
      BOOST_TEST_CONTEXT(form.what << ", " << size << " bytes") {
        const bool is_complete =
            size == whole.size() ||
            (form.ends_with_connection && size >= form.head.size());
        for (const size_t piece : {size_t{1}, whole.size()}) {
          BOOST_TEST(ReadToEof(whole.substr(0, size), piece).has_value() ==
                     is_complete);
        }
      }
    }
  }
}

// Random heads, cut at random places.
BOOST_AUTO_TEST_CASE(NoRandomPrefixIsACompleteAnswer) {
  const auto check = [] {
    const auto name = rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    const auto fields = *rc::gen::container<std::vector<std::string>>(name);
    const auto body =
        *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string& field : fields) {
      head += "x-";
      head += field;
      head += ": v\r\n";
    }
    const std::string whole = head +
                              "Content-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body;
    const size_t size = *rc::gen::inRange<size_t>(0, whole.size());
    const size_t piece = *rc::gen::inRange<size_t>(1, whole.size() + 1);
    RC_ASSERT(!ReadToEof(whole.substr(0, size), piece));
    RC_ASSERT(ReadToEof(whole, piece)->body == body);
  };
  BOOST_TEST(rc::check("no prefix is complete", check));
}

// Backend server that stops in the middle of an answer.
class CuttingServer {
 public:
  enum class Ending : uint8_t { kClose, kReset };
  static constexpr size_t kWhole = SIZE_MAX;

  CuttingServer() : address{"127.0.0.1", FreeLoopbackPort()} {
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    BOOST_TEST_REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&name),
                            sizeof(name)) == 0);
    listen(m_listener, SOMAXCONN);
    m_acceptor = std::thread([this] { Accept(); });
  }
  ~CuttingServer() {
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      for (const int fd : m_open) shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& thread : m_connections) thread.join();
    close(m_listener);
  }

  // The next answers are cut after so many bytes each; further ones are whole.
  void Plan(std::vector<size_t> cuts, Ending ending, bool in_chunks) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cuts = std::move(cuts);
    m_ending = ending;
    m_in_chunks = in_chunks;
  }
  size_t CountRuns(const std::string& id) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs[id];
  }
  static std::string Head(const std::string& id, bool in_chunks) {
    return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Digest: d-" + id +
           (in_chunks ? "\r\nTransfer-Encoding: chunked\r\n\r\n"
                      : "\r\nContent-Length: 5\r\n\r\n");
  }

  const SocketAddress address;

 private:
  void Accept() {
    for (;;) {
      const int fd = accept(m_listener, nullptr, nullptr);
      if (fd < 0) return;
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_open.push_back(fd);
      m_connections.emplace_back([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    std::string received;
    char buffer[4096];
    for (;;) {
      const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
      if (count <= 0) break;
      received.append(buffer, static_cast<size_t>(count));
      const size_t end = received.find("\r\n\r\n");
      if (end == std::string::npos) continue;
      const bool goes_on = Answer(fd, received.substr(0, end));
      received.erase(0, end + 4);
      if (!goes_on) break;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::erase(m_open, fd);
    close(fd);
  }

  // Returns false if the connection is to be closed.
  bool Answer(int fd, const std::string& head) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    constexpr std::string_view kField = "Test-Id: ";
    const size_t at = head.find(kField) + kField.size();
    const std::string id = head.substr(at, head.find('\r', at) - at);
    ++m_runs[id];
    std::string answer = Head(id, m_in_chunks) +
                         (m_in_chunks ? "5\r\nwhole\r\n0\r\n\r\n" : "whole");
    size_t cut = kWhole;
    if (!m_cuts.empty()) {
      cut = m_cuts.front();
      m_cuts.erase(m_cuts.begin());
    }
    const bool is_whole = cut >= answer.size();
    if (!is_whole) answer.resize(cut);
    send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
    if (!is_whole && m_ending == Ending::kReset) {
      const linger reset = {1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    return is_whole;
  }

  int m_listener = -1;
  std::thread m_acceptor;
  std::mutex m_mutex;
  std::vector<int> m_open;
  std::vector<std::thread> m_connections;
  std::vector<size_t> m_cuts;
  Ending m_ending = Ending::kClose;
  bool m_in_chunks = false;
  std::map<std::string, size_t> m_runs;
};

struct CutFixture {
  CutFixture() {
    pair.back_settings.server = server.address;
    // Each cut costs a retry.
    pair.front_settings.retry_budget = {1, 1000};
    pair.RestartFront();
    pair.ApplyTestConfig(pair.front.get());
    pair.RestartBack();
    pair.AddServer("server-2");
  }

  CuttingServer server;
  RelayPair pair;
};

struct CutCase {
  const char* what;
  CuttingServer::Ending ending;
  bool in_chunks;
};

const std::vector<CutCase> kCuts = {
    {"close", CuttingServer::Ending::kClose, false},
    {"reset", CuttingServer::Ending::kReset, false},
    {"close, chunks", CuttingServer::Ending::kClose, true},
    {"reset, chunks", CuttingServer::Ending::kReset, true},
};

// The request may have run: its caller gets a failure that promises nothing,
// and it is not sent again.
BOOST_FIXTURE_TEST_CASE(CutAnswersAreFailures, CutFixture) {
  for (const CutCase& item : kCuts) {
    const size_t size = CuttingServer::Head("once", item.in_chunks).size();
    for (size_t cut = 0; cut <= size + 4; ++cut) {
      BOOST_TEST_CONTEXT(item.what << " after " << cut << " bytes") {
        const std::string id =
            std::string(item.what) + "-" + std::to_string(cut);
        server.Plan({cut}, item.ending, item.in_chunks);
        const auto call = pair.Send("/once/a", id);
        BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
        BOOST_TEST((call->result.end == ExchangeEnd::kAnswered));
        BOOST_TEST(call->result.response.status == 502);
        BOOST_TEST(server.CountRuns(id) == 1U);
      }
    }
  }
}

// An idempotent request goes to a second server, and only that one's answer is
// delivered, whole.
BOOST_FIXTURE_TEST_CASE(IdempotentRequestsGetTheSecondAnswer, CutFixture) {
  for (const CutCase& item : kCuts) {
    const size_t size = CuttingServer::Head("many", item.in_chunks).size();
    for (size_t cut = 0; cut <= size + 4; cut += 3) {
      BOOST_TEST_CONTEXT(item.what << " after " << cut << " bytes") {
        const std::string id =
            std::string(item.what) + "-" + std::to_string(cut);
        server.Plan({cut}, item.ending, item.in_chunks);
        const auto call = pair.Send("/a", id);
        BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
        BOOST_TEST(call->result.response.status == 200);
        BOOST_TEST(call->result.response.body == "whole");
        BOOST_TEST(server.CountRuns(id) == 2U);
      }
    }
  }
}

// Pipelined requests of which one is answered in part, at both servers. The
// caller gets all answers in order, each whole or a failure.
BOOST_FIXTURE_TEST_CASE(PipelinedCallersGetWholeAnswersInOrder, CutFixture) {
  for (const CutCase& item : kCuts) {
    const size_t size = CuttingServer::Head("p1", item.in_chunks).size();
    for (size_t cut = 0; cut <= size + 4; cut += 9) {
      BOOST_TEST_CONTEXT(item.what << " after " << cut << " bytes") {
        server.Plan({cut, cut}, item.ending, item.in_chunks);
        RawClient client(&pair.loop, pair.front_settings.caller_listener);
        client.Write(RequestText("GET", "/once/a", "p1") +
                     RequestText("GET", "/once/a", "p2") +
                     RequestText("GET", "/once/a", "p3"));
        std::vector<ParsedMessage> answers;
        HttpReader reader(HttpReader::Kind::kResponses, {});
        BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] {
          std::string_view data = client.received;
          while (!data.empty() &&
                 reader.Read(&data) == HttpReader::Result::kMessage) {
            answers.push_back(reader.Take());
          }
          client.received.clear();
          return answers.size() == 3 || client.is_ended;
        }));
        BOOST_TEST_REQUIRE(answers.size() == 3U);
        BOOST_TEST(answers[0].status == 502);
        BOOST_TEST(answers[1].status == 502);
        BOOST_TEST(answers[2].status == 200);
        BOOST_TEST(answers[2].body == "whole");
      }
    }
  }
}

}  // namespace
}  // namespace vanillatiller
