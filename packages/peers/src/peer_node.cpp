#include <jujubecart/peers/peer_node.hpp>

namespace jujubecart::peers {

namespace internal {

std::shared_ptr<TlsContext> makeTls(const PeerOptions &Options) {
  if (Options.PlainTcp)
    return nullptr;
  return std::make_shared<TlsContext>(Options.CertificateFile, Options.KeyFile,
                                      Options.CaFile);
}

} // namespace internal

PeerNode::PeerNode(const boost::asio::any_io_executor &Executor,
                   const PeerOptions &Options, const Environment &Dependencies)
    : Tls(internal::makeTls(Options)),
      Links(std::make_shared<LinkTable>(Executor, Options, Dependencies.Time,
                                        Dependencies.Events, Tls)),
      Time(Dependencies.Time), Config(Dependencies.Config),
      Members(Options, Dependencies.Time, Dependencies.Events),
      Groups(Config, {.Seed = Options.RandomSeed,
                      .Zone = Options.Self.Zone,
                      .ZonePricePerGb = Options.ZonePricePerGb}),
      Dispatch(Executor, {*Links, Members, Groups, Config, Dependencies.Claims,
                          Dependencies.Time, Dependencies.Events,
                          Dependencies.Prober, Options.Quotas}),
      Broker(Executor,
             {*Links, Dispatch, Members, Groups, Dependencies.Fallback,
              Dependencies.Claims, Dependencies.Time, Dependencies.Events}),
      Sync(Executor,
           {*Links, Members, Config, Dependencies.Time, Dependencies.Events}),
      Relay(*Links, Members, Dependencies.Time),
      Gossiper(Executor, *Links, Members, Config, Sync) {
  // Gossip is first, so that the member table is up to date when the other
  // listeners handle a frame.
  Links->subscribe(Gossiper);
  Links->subscribe(Sync);
  Links->subscribe(Relay);
  Links->subscribe(Dispatch);
  Links->subscribe(Broker);
  Links->setHello([this] { return hello(); });
}

PeerNode::~PeerNode() { stop(); }

Hello PeerNode::hello() const {
  const core::Member Self = Members.self();
  return {.Sender = Self.Id,
          .Incarnation = Self.Incarnation,
          .Address = Self.Address,
          .Zone = Self.Zone,
          .Region = Self.Region,
          .Revision = Config.current()->revision(),
          .Leaving = Self.State == core::MemberState::Leaving,
          .Operators = Self.OperatorsAddress,
          .ProcessorMilli = Self.ProcessorMilli,
          .SentAtMs = static_cast<std::uint64_t>(Time.uptime().count())};
}

std::string PeerNode::start() {
  if (Tls)
    if (std::string Problem = Tls->reload(); !Problem.empty())
      return Problem;
  auto Address = Links->listen();
  if (!Address)
    return "cannot listen on " + Members.self().Address + ": " +
           Address.error().message();
  BoundAddress = std::move(*Address);
  // With port 0 the system chooses the port, which is known only now.
  if (Members.self().Address.ends_with(":0"))
    Members.setAddress(BoundAddress);
  Dispatch.start();
  Broker.start();
  Gossiper.start();
  return {};
}

void PeerNode::leave() {
  Members.leave();
  Gossiper.announce();
}

void PeerNode::stop() {
  Gossiper.stop();
  Broker.stop();
  Dispatch.stop();
  Links->stop();
}

} // namespace jujubecart::peers
