#ifndef JUJUBECART_PLATFORM_FWD_HPP
#define JUJUBECART_PLATFORM_FWD_HPP

namespace jujubecart::platform {

class VmListReader;

struct VmList;

} // namespace jujubecart::platform

#endif
