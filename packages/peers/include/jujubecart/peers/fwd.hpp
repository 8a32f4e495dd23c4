#ifndef JUJUBECART_PEERS_FWD_HPP
#define JUJUBECART_PEERS_FWD_HPP

namespace jujubecart::peers {

class ConfigSync;
class DispatchService;
class FrameCodec;
class Gossip;
class HealthProber;
class Link;
class LinkTable;
class GroupDirectory;
class MemberTable;
class PeerCounters;
class PeerNode;
class RemoteBroker;
class StoreRelay;
class TlsContext;
class TransitDelay;

struct Frame;
struct PeerOptions;

} // namespace jujubecart::peers

#endif
