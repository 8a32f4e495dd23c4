#ifndef JUJUBECART_STORE_FWD_HPP
#define JUJUBECART_STORE_FWD_HPP

namespace jujubecart::store {

class ClaimLog;
class ConfigReader;
class Directory;
class DirectoryFeed;
class HttpKeyValueStore;
class StoreConnections;
class TicketProcessor;

struct AcceptedTicket;
struct ClaimLogEnvironment;
struct ClaimLogSettings;
struct ConfigHead;
struct DirectoryFeedOptions;
struct HeadEntry;
struct Ticket;
struct TicketResult;

} // namespace jujubecart::store

#endif
