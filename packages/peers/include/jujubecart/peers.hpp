#ifndef JUJUBECART_PEERS_HPP
#define JUJUBECART_PEERS_HPP

#include <jujubecart/peers/config_sync.hpp>
#include <jujubecart/peers/dispatch_plan.hpp>
#include <jujubecart/peers/dispatch_service.hpp>
#include <jujubecart/peers/frame_codec.hpp>
#include <jujubecart/peers/fwd.hpp>
#include <jujubecart/peers/gossip.hpp>
#include <jujubecart/peers/group_directory.hpp>
#include <jujubecart/peers/health_prober.hpp>
#include <jujubecart/peers/link.hpp>
#include <jujubecart/peers/link_table.hpp>
#include <jujubecart/peers/member_table.hpp>
#include <jujubecart/peers/message.hpp>
#include <jujubecart/peers/peer_counters.hpp>
#include <jujubecart/peers/peer_node.hpp>
#include <jujubecart/peers/peer_options.hpp>
#include <jujubecart/peers/remote_broker.hpp>
#include <jujubecart/peers/tls_context.hpp>

#endif
