#include "loop.hpp"
#include <boost/asio/read.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <fstream>
#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/peers/link_table.hpp>
#include <unistd.h>

using namespace jujubecart;
using namespace jujubecart::peers;
using namespace jujubecart::peers::test;
using namespace std::chrono_literals;

namespace {

class LinkNode : public LinkListener {
public:
  LinkNode(Loop &Context, const std::string &Id, PeerOptions Options,
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

  LinkPtr connect(Loop &Context, const LinkNode &To, const std::string &Id) {
    return Context.run(Table->connect(Id, To.Address));
  }

  core::SystemClock Clock;
  Recorder Events;
  std::shared_ptr<LinkTable> Table;
  std::string Address;
  std::atomic<int> Frames{0};
};

PeerOptions options(std::uint64_t Incarnation = 1) {
  PeerOptions Options;
  Options.Self.Incarnation = Incarnation;
  return Options;
}

// Nodes are destroyed after their loop has stopped.
struct Pair {
  explicit Pair(PeerOptions Options = options())
      : Left(Context, "a", Options), Right(Context, "b", std::move(Options)) {}
  ~Pair() { Context.stop(); }

  Loop Context;
  LinkNode Left;
  LinkNode Right;
};

/// @brief Certificates made with the openssl program.
class Certificates {
public:
  Certificates() {
    char Name[] = "/tmp/jujubecart-peers-XXXXXX";
    Folder = mkdtemp(Name);
    authority("ca");
    authority("other");
    certificate("good", "ca", 30);
    certificate("foreign", "other", 30);
    certificate("expired", "ca", -1);
  }
  ~Certificates() { shell("rm -r " + Folder); }

  [[nodiscard]] std::shared_ptr<TlsContext>
  context(const std::string &Name, const std::string &Ca = "ca") const {
    auto Tls = std::make_shared<TlsContext>(
        path(Name + ".pem"), path(Name + ".key"), path(Ca + ".pem"));
    const std::string Problem = Tls->reload();
    cr_assert(Problem.empty(), "%s", Problem.c_str());
    return Tls;
  }
  [[nodiscard]] std::string path(const std::string &File) const {
    return Folder + "/" + File;
  }
  void copy(const std::string &From, const std::string &To) const {
    shell("cp " + path(From) + ".pem " + path(To) + ".pem && cp " + path(From) +
          ".key " + path(To) + ".key");
  }

private:
  static void shell(const std::string &Command) {
    const int Code = std::system((Command + " >/dev/null 2>&1").c_str());
    cr_assert_eq(Code, 0, "%s", Command.c_str());
  }
  void authority(const std::string &Name) const {
    shell("openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes"
          " -days 30 -subj /CN=" +
          Name + " -keyout " + path(Name + ".key") + " -out " +
          path(Name + ".pem"));
  }
  void certificate(const std::string &Name, const std::string &Ca,
                   int Days) const {
    shell("openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes"
          " -subj /CN=" +
          Name + " -keyout " + path(Name + ".key") + " -out " +
          path(Name + ".csr") + " && openssl x509 -req -in " +
          path(Name + ".csr") + " -CA " + path(Ca + ".pem") + " -CAkey " +
          path(Ca + ".key") + " -CAcreateserial -days " + std::to_string(Days) +
          " -out " + path(Name + ".pem"));
  }

  std::string Folder;
};

struct TlsPair {
  TlsPair(std::shared_ptr<TlsContext> First, std::shared_ptr<TlsContext> Second)
      : Left(Context, "a", options(), std::move(First)),
        Right(Context, "b", options(), std::move(Second)) {}
  ~TlsPair() { Context.stop(); }

  // The side that refuses a certificate closes; the other may see the
  // connection open for a moment.
  void expectRefused() {
    (void)Left.connect(Context, Right, "b");
    std::this_thread::sleep_for(200ms);
    cr_assert_null(Left.Table->find("b").get());
    cr_assert_null(Right.Table->find("a").get());
  }

  Loop Context;
  LinkNode Left;
  LinkNode Right;
};

} // namespace

// Guards against two connections between two VMs that dial at the same time.
Test(LinkTable, simultaneous_dials_settle_on_one_link) {
  Pair Nodes;
  Nodes.Left.Table->connectLater("b", Nodes.Right.Address);
  Nodes.Right.Table->connectLater("a", Nodes.Left.Address);
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

// Guards against links whose memory, times one link for each VM of the fleet,
// is most of what a VM with a dispatcher needs.
Test(Link, idle_link_takes_little_memory) {
  constexpr std::size_t MostBytes = 4096;
  cr_assert_leq(sizeof(Link), MostBytes);
}

// Guards against one system call per frame under load.
Test(Link, burst_of_frames_is_written_together) {
  Pair Nodes;
  const LinkPtr Link = Nodes.Left.connect(Nodes.Context, Nodes.Right, "b");
  cr_assert_not_null(Link.get());
  for (std::uint32_t At = 0; At < 1000; ++At)
    cr_assert(Link->send(Queued{At}));
  cr_assert(eventually([&] { return Nodes.Right.Frames == 1000; }));
  cr_assert_lt(Nodes.Left.Table->counters().Writes, 500);
}

// Guards against memory growth while a peer does not read.
Test(Link, full_write_queue_closes_link) {
  PeerOptions Options = options();
  Options.MaxQueuedBytes = 100000;
  Loop Paused(1);
  Loop Running;
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

// Guards against a VM that dials a dead peer without pause.
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
  // 50 ms doubled up to 1 s leaves room for at most seven dials in a second.
  cr_assert_leq(Nodes.Left.Table->counters().LinksFailed, 7);
}

// Guards against a restarted VM that stays behind the link of its old process.
Test(LinkTable, newer_incarnation_replaces_link) {
  Loop Context;
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

// Guards against a silent peer whose connection stays open.
Test(LinkTable, link_without_owed_reply_is_closed) {
  Loop Paused(1);
  Loop Running;
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

// Guards against bytes of another protocol that reach a listener.
Test(LinkTable, garbage_from_network_closes_connection) {
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

// Guards against links between VMs of one fleet that are refused.
Test(Tls, certificates_of_same_ca_are_accepted) {
  const Certificates Files;
  TlsPair Nodes(Files.context("good"), Files.context("good"));
  const LinkPtr Link = Nodes.Left.connect(Nodes.Context, Nodes.Right, "b");
  cr_assert_not_null(Link.get());
  for (std::uint32_t At = 0; At < 100; ++At)
    cr_assert(Link->send(Queued{At}));
  cr_assert(eventually([&] { return Nodes.Right.Frames == 100; }));
}

// Guards against a dialing VM whose certificate another authority signed.
Test(Tls, foreign_client_certificate_is_refused) {
  const Certificates Files;
  TlsPair Nodes(Files.context("foreign"), Files.context("good"));
  Nodes.expectRefused();
}

// Guards against connecting to a server of another authority.
Test(Tls, foreign_server_certificate_is_refused) {
  const Certificates Files;
  TlsPair Nodes(Files.context("good"), Files.context("foreign"));
  Nodes.expectRefused();
}

// Guards against an expired certificate that is still accepted.
Test(Tls, expired_certificate_is_refused) {
  const Certificates Files;
  TlsPair Nodes(Files.context("expired"), Files.context("good"));
  Nodes.expectRefused();
}

// Guards against a peer without any certificate, here one without TLS.
Test(Tls, plain_peer_is_refused) {
  const Certificates Files;
  TlsPair Nodes(nullptr, Files.context("good"));
  Nodes.expectRefused();
}

// Guards against a TLS client that presents no certificate.
Test(Tls, client_without_certificate_is_refused) {
  namespace ssl = boost::asio::ssl;
  const Certificates Files;
  Loop Context;
  LinkNode Server(Context, "b", options(), Files.context("good"));
  boost::asio::io_context Io;
  ssl::context Bare(ssl::context::tls_client);
  ssl::stream<boost::asio::ip::tcp::socket> Client(Io, Bare);
  Client.next_layer().connect(core::parseEndpoint(Server.Address).value());
  boost::system::error_code Failed;
  Client.handshake(ssl::stream_base::client, Failed);
  // With TLS 1.3 the client learns of the refusal when it reads.
  char Byte = 0;
  if (!Failed)
    boost::asio::read(Client, boost::asio::buffer(&Byte, 1), Failed);
  cr_assert(Failed.failed());
  cr_assert_eq(Server.Table->counters().LinksOpen, 0);
  Context.stop();
}

// Guards against certificates that need a restart, and against a broken file
// that takes working certificates out of use.
Test(Tls, reload_affects_new_links_only) {
  const Certificates Files;
  Files.copy("foreign", "used");
  const auto Tls = Files.context("used");
  TlsPair Nodes(Tls, Files.context("good"));
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

// Guards against starting with files that do not exist.
Test(Tls, missing_file_is_named) {
  TlsContext Tls("/nonexistent/a.pem", "/nonexistent/a.key",
                 "/nonexistent/ca.pem");
  cr_assert(Tls.reload().find("/nonexistent/ca.pem") != std::string::npos);
  cr_assert_null(Tls.current().get());
}
