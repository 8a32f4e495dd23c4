#ifndef JUJUBECART_STORE_FWD_HPP
#define JUJUBECART_STORE_FWD_HPP

namespace jujubecart::store {

class ConfigReader;
class HttpKeyValueStore;
class TicketProcessor;

struct AcceptedTicket;
struct ConfigHead;
struct HeadEntry;
struct Ticket;
struct TicketResult;

} // namespace jujubecart::store

#endif
