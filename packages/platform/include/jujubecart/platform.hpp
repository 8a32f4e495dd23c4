#ifndef JUJUBECART_PLATFORM_HPP
#define JUJUBECART_PLATFORM_HPP

#include <jujubecart/platform/vm_list.hpp>
#include <jujubecart/platform/vm_list_reader.hpp>

#endif
