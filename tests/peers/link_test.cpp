#include "../common/certificates.hpp"
#include "loop.hpp"
#include <boost/asio/read.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <fstream>
#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/peers/link_table.hpp>

using namespace jujubecart;
using namespace jujubecart::peers;
using namespace jujubecart::peers::test;
using namespace std::chrono_literals;

namespace {

/// @brief A link table that listens on a free port and counts frames.
class LinkNode : public LinkListener {
public:
  LinkNode(IoThreads &Context, const std::string &Id, PeerOptions Options,
           std::shared_ptr<TlsContext> Tls = nullptr) {
    Options.PlainTcp = !Tls;
    Options.Self.Id = Id;
    Options.Self.Address = "127.0.0.1:0";
    Table = std::make_shared<LinkTable>(Context.executor(), Options, Clock,
                                        Events, std::move(Tls));
    Table->subscribe(*this);
    Table->setHello([Id, Options] {
      return Hello{Id, Options.Self.Incarnation};
    });
    Address = Table->listen().value();
  }
  ~LinkNode() override { Table->stop(); }

  void onFrame(const LinkPtr & /*Source*/, const Frame & /*Item*/) override {
    ++Frames;
  }

  LinkPtr connect(IoThreads &Context, const LinkNode &To,
                  const std::string &Id) {
    return Context.run(Table->connect(Id, To.Address));
  }

  core::SystemClock Clock;
  EventRecorder Events;
  std::shared_ptr<LinkTable> Table;
  std::string Address;
  std::atomic<int> Frames{0};
};

PeerOptions options(std::uint64_t Incarnation = 1) {
  PeerOptions Options;
  Options.Self.Incarnation = Incarnation;
  return Options;
}

// Stops the loop before the nodes are destroyed, because its handlers use them.
struct Pair {
  explicit Pair(PeerOptions Options = options())
      : Left(Context, "a", Options), Right(Context, "b", std::move(Options)) {}
  ~Pair() { Context.stop(); }

  IoThreads Context;
  LinkNode Left;
  LinkNode Right;
};

std::shared_ptr<TlsContext> contextOf(const tests::Certificates &Files,
                                      const std::string &Name,
                                      const std::string &Ca = "ca") {
  auto Tls = std::make_shared<TlsContext>(Files.path(Name + ".pem"),
                                          Files.path(Name + ".key"),
                                          Files.path(Ca + ".pem"));
  const std::string Problem = Tls->reload();
  cr_assert(Problem.empty(), "%s", Problem.c_str());
  return Tls;
}

struct TlsPair {
  TlsPair(std::shared_ptr<TlsContext> First, std::shared_ptr<TlsContext> Second)
      : Left(Context, "a", options(), std::move(First)),
        Right(Context, "b", options(), std::move(Second)) {}
  ~TlsPair() { Context.stop(); }

  // Waits before checking: only the side that rejects a certificate closes the
  // connection at once, the other may see it open for a short time.
  void expectRefused() {
    (void)Left.connect(Context, Right, "b");
    std::this_thread::sleep_for(200ms);
    cr_assert_null(Left.Table->find("b").get());
    cr_assert_null(Right.Table->find("a").get());
  }

  IoThreads Context;
  LinkNode Left;
  LinkNode Right;
};

} // namespace

// Guards against two VMs that dial each other at the same time and keep two
// connections, or each keep a link that the other one closes.
Test(LinkTable, simultaneous_dials_settle_on_one_link) {
  Pair Nodes;
  Nodes.Left.Table->connectInBackground("b", Nodes.Right.Address);
  Nodes.Right.Table->connectInBackground("a", Nodes.Left.Address);
  cr_assert(eventually([&] {
    const LinkPtr Left = Nodes.Left.Table->find("b");
    const LinkPtr Right = Nodes.Right.Table->find("a");
    return Left && Right && Left->dialed() != Right->dialed() &&
           Nodes.Left.Table->counters().LinksOpen == 1;
  }));
  const LinkPtr Link = Nodes.Left.Table->find("b");
  cr_assert(Nodes.Right.Table->find("a")->send(Queued{1}));
  cr_assert(Link->send(Queued{1}));
  cr_assert(eventually([&] { return Nodes.Left.Frames == 1; }));
  cr_assert(eventually([&] { return Nodes.Right.Frames == 1; }));
}

// Guards against a growing Link: a dispatcher VM has one for each VM of the
// fleet, so they would make up most of its memory.
Test(Link, idle_link_takes_little_memory) {
  constexpr std::size_t MaxBytes = 4096;
  cr_assert_leq(sizeof(Link), MaxBytes);
}

// Guards against one write system call per frame under load: frames queued
// during a write must be written together.
Test(Link, burst_of_frames_is_batched_into_few_writes) {
  Pair Nodes;
  const LinkPtr Link = Nodes.Left.connect(Nodes.Context, Nodes.Right, "b");
  cr_assert_not_null(Link.get());
  for (std::uint32_t At = 0; At < 1000; ++At)
    cr_assert(Link->send(Queued{At}));
  cr_assert(eventually([&] { return Nodes.Right.Frames == 1000; }));
  cr_assert_lt(Nodes.Left.Table->counters().Writes, 500);
}

// Guards against unbounded growth of the write queue while the peer does not
// read: the link must be closed.
Test(Link, full_write_queue_closes_link) {
  PeerOptions Options = options();
  Options.MaxQueuedBytes = 100000;
  IoThreads Paused(1);
  IoThreads Running;
  LinkNode Reader(Paused, "b", Options);
  LinkNode Writer(Running, "a", Options);
  const LinkPtr Link = Writer.connect(Running, Reader, "b");
  cr_assert_not_null(Link.get());
  Paused.pause(3s);
  const Bye Large{std::string(50000, 'x')};
  cr_assert(eventually([&] { return !Link->send(Large); }));
  cr_assert(eventually([&] { return !Writer.Table->find("b"); }));
  Running.stop();
  Paused.stop();
}

// Guards against dialing an unreachable peer without backoff.
Test(LinkTable, failed_dials_back_off) {
  Pair Nodes;
  int Failed = 0;
  const auto End = std::chrono::steady_clock::now() + 1s;
  while (std::chrono::steady_clock::now() < End) {
    cr_assert_null(
        Nodes.Context.run(Nodes.Left.Table->connect("c", "127.0.0.1:1")).get());
    ++Failed;
    std::this_thread::sleep_for(1ms);
  }
  cr_assert_gt(Failed, 50);
  // The backoff starts at 50 ms and doubles, and jitter takes off up to half:
  // at least 25, 50, 100, 200, 400 and 800 ms. Six dials fit into a second; the
  // limit allows one more.
  cr_assert_leq(Nodes.Left.Table->counters().DialsFailed, 7);
}

// Guards against frames for a restarted VM that go to the link of its earlier
// process: the link of the higher incarnation must replace it.
Test(LinkTable, newer_incarnation_replaces_link) {
  IoThreads Context;
  LinkNode Old(Context, "b", options(1));
  LinkNode New(Context, "b", options(2));
  LinkNode Other(Context, "a", options(1));
  const LinkPtr First = Old.connect(Context, Other, "a");
  cr_assert_not_null(First.get());
  cr_assert_not_null(New.connect(Context, Other, "a").get());
  cr_assert(eventually([&] { return First->closed(); }));
  cr_assert_eq(Other.Table->find("b")->peer().Incarnation, 2);
  Context.stop();
}

// Guards against a connection that stays open although the peer has stopped
// answering: the link must be closed after ReplyTimeout.
Test(LinkTable, link_is_closed_after_reply_timeout) {
  IoThreads Paused(1);
  IoThreads Running;
  PeerOptions Options = options();
  Options.ReplyTimeout = 300ms;
  LinkNode Silent(Paused, "b", Options);
  LinkNode Asking(Running, "a", Options);
  const LinkPtr Link = Asking.connect(Running, Silent, "b");
  cr_assert_not_null(Link.get());
  Paused.pause(3s);
  Link->expectReply();
  cr_assert(eventually([&] { return Link->closed(); }, 2000ms));
  Running.stop();
  Paused.stop();
}

// Guards against bytes of another protocol that are passed to a listener
// instead of closing the connection.
Test(LinkTable, bytes_of_other_protocol_close_connection) {
  Pair Nodes;
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Client(Io);
  Client.connect(core::parseEndpoint(Nodes.Left.Address).value());
  boost::asio::write(Client, boost::asio::buffer("GET / HTTP/1.1\r\n\r\n"));
  std::string Rest(65536, 0);
  boost::system::error_code Closed;
  boost::asio::read(Client, boost::asio::buffer(Rest), Closed);
  cr_assert(Closed.failed());
  cr_assert_eq(Nodes.Left.Frames, 0);
  cr_assert(eventually(
      [&] { return Nodes.Left.Table->counters().FramesRejected == 1; }));
}

// Guards against refusing a peer whose certificate is signed by the same CA.
Test(Tls, certificates_of_same_ca_are_accepted) {
  const tests::Certificates Files;
  TlsPair Nodes(contextOf(Files, "good"), contextOf(Files, "good"));
  const LinkPtr Link = Nodes.Left.connect(Nodes.Context, Nodes.Right, "b");
  cr_assert_not_null(Link.get());
  for (std::uint32_t At = 0; At < 100; ++At)
    cr_assert(Link->send(Queued{At}));
  cr_assert(eventually([&] { return Nodes.Right.Frames == 100; }));
}

// Guards against accepting a client whose certificate another CA signed.
Test(Tls, client_certificate_of_other_ca_is_refused) {
  const tests::Certificates Files;
  TlsPair Nodes(contextOf(Files, "foreign"), contextOf(Files, "good"));
  Nodes.expectRefused();
}

// Guards against connecting to a VM whose certificate another CA signed.
Test(Tls, server_certificate_of_other_ca_is_refused) {
  const tests::Certificates Files;
  TlsPair Nodes(contextOf(Files, "good"), contextOf(Files, "foreign"));
  Nodes.expectRefused();
}

// Guards against accepting an expired certificate.
Test(Tls, expired_certificate_is_refused) {
  const tests::Certificates Files;
  TlsPair Nodes(contextOf(Files, "expired"), contextOf(Files, "good"));
  Nodes.expectRefused();
}

// Guards against accepting a peer without TLS, which has no certificate.
Test(Tls, plain_peer_is_refused) {
  const tests::Certificates Files;
  TlsPair Nodes(nullptr, contextOf(Files, "good"));
  Nodes.expectRefused();
}

// Guards against accepting a TLS client that presents no certificate.
Test(Tls, client_without_certificate_is_refused) {
  namespace ssl = boost::asio::ssl;
  const tests::Certificates Files;
  IoThreads Context;
  LinkNode Server(Context, "b", options(), contextOf(Files, "good"));
  boost::asio::io_context Io;
  ssl::context Bare(ssl::context::tls_client);
  ssl::stream<boost::asio::ip::tcp::socket> Client(Io, Bare);
  Client.next_layer().connect(core::parseEndpoint(Server.Address).value());
  boost::system::error_code Failed;
  Client.handshake(ssl::stream_base::client, Failed);
  // With TLS 1.3 the client's handshake may succeed before the server rejects
  // it; the error then arrives with the next read.
  char Byte = 0;
  if (!Failed)
    boost::asio::read(Client, boost::asio::buffer(&Byte, 1), Failed);
  cr_assert(Failed.failed());
  cr_assert_eq(Server.Table->counters().LinksOpen, 0);
  Context.stop();
}

// Guards against renewed certificates that take effect only after a restart,
// and against a broken file that replaces working certificates or closes links.
Test(Tls, reload_affects_new_links_only) {
  const tests::Certificates Files;
  Files.copy("foreign", "used");
  const auto Tls = contextOf(Files, "used");
  TlsPair Nodes(Tls, contextOf(Files, "good"));
  Nodes.expectRefused();
  Files.copy("good", "used");
  cr_assert(Tls->reload().empty());
  cr_assert(eventually([&] {
    return Nodes.Left.connect(Nodes.Context, Nodes.Right, "b") != nullptr;
  }));
  std::this_thread::sleep_for(100ms);
  const LinkPtr Link = Nodes.Left.Table->find("b");
  cr_assert_not_null(Link.get());
  std::ofstream(Files.path("used.pem")) << "not a certificate";
  const std::string Problem = Tls->reload();
  cr_assert(Problem.find("used.pem") != std::string::npos, "%s",
            Problem.c_str());
  cr_assert_not_null(Tls->current().get());
  cr_assert_not(Link->closed());
}

// Guards against starting without certificates when a file does not exist, and
// against an error that does not name the file.
Test(Tls, missing_file_is_named_in_error) {
  TlsContext Tls("/nonexistent/a.pem", "/nonexistent/a.key",
                 "/nonexistent/ca.pem");
  cr_assert(Tls.reload().find("/nonexistent/ca.pem") != std::string::npos);
  cr_assert_null(Tls.current().get());
}
