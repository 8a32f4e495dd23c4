#ifndef JUJUBECART_INVENTORY_HPP
#define JUJUBECART_INVENTORY_HPP

#include <jujubecart/inventory/vm_list.hpp>
#include <jujubecart/inventory/vm_list_reader.hpp>

#endif
