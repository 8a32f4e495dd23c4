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
                   const PeerOptions &Options, const Environment &Surroundings)
    : Tls(internal::makeTls(Options)),
      Links(std::make_shared<LinkTable>(Executor, Options, Surroundings.Time,
                                        Surroundings.Events, Tls)),
      Config(Surroundings.Config),
      Members(Options, Surroundings.Time, Surroundings.Events),
      Groups(Config, Options.Seed),
      Dispatch(Executor,
               {*Links, Members, Groups, Surroundings.Claims, Surroundings.Time,
                Surroundings.Events, Surroundings.Prober}),
      Broker(Executor,
             {*Links, Dispatch, Members, Groups, Surroundings.Fallback,
              Surroundings.Claims, Surroundings.Time, Surroundings.Events}),
      Sync(Executor,
           {*Links, Members, Config, Surroundings.Time, Surroundings.Events}),
      Relay(*Links, Members), Rounds(Executor, *Links, Members, Config, Sync) {
  // Membership learns of a frame first.
  Links->subscribe(Rounds);
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
          .Operators = Self.Operators,
          .ProcessorMilli = Self.ProcessorMilli};
}

std::string PeerNode::start() {
  if (Tls)
    if (std::string Problem = Tls->reload(); !Problem.empty())
      return Problem;
  auto Address = Links->listen();
  if (!Address)
    return "listening on " + Members.self().Address + ": " +
           Address.error().message();
  Bound = std::move(*Address);
  // An address without a fixed port becomes known only now.
  if (Members.self().Address.ends_with(":0"))
    Members.setAddress(Bound);
  Dispatch.start();
  Broker.start();
  Rounds.start();
  return {};
}

void PeerNode::leave() {
  Members.leave();
  Rounds.announce();
}

void PeerNode::stop() {
  Rounds.stop();
  Broker.stop();
  Dispatch.stop();
  Links->stop();
}

} // namespace jujubecart::peers
