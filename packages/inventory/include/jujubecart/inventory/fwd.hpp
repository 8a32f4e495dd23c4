#ifndef JUJUBECART_INVENTORY_FWD_HPP
#define JUJUBECART_INVENTORY_FWD_HPP

namespace jujubecart::inventory {

class VmListReader;

struct VmList;

} // namespace jujubecart::inventory

#endif
