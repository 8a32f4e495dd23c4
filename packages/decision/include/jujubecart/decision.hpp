#ifndef JUJUBECART_DECISION_HPP
#define JUJUBECART_DECISION_HPP

#include <jujubecart/decision/call_preview.hpp>
#include <jujubecart/decision/decision.hpp>
#include <jujubecart/decision/dispatch_group.hpp>
#include <jujubecart/decision/dispatcher_options.hpp>
#include <jujubecart/decision/group_dispatcher.hpp>
#include <jujubecart/decision/least_reported.hpp>
#include <jujubecart/decision/local_broker.hpp>
#include <jujubecart/decision/local_policy.hpp>
#include <jujubecart/decision/pending_call.hpp>
#include <jujubecart/decision/power_of_two_choices.hpp>
#include <jujubecart/decision/probe_result.hpp>
#include <jujubecart/decision/random_choice.hpp>
#include <jujubecart/decision/rendezvous.hpp>
#include <jujubecart/decision/retry_budget.hpp>
#include <jujubecart/decision/round_robin.hpp>
#include <jujubecart/decision/server_status.hpp>
#include <jujubecart/decision/token_bucket.hpp>
#include <jujubecart/decision/workspace_quotas.hpp>

#endif
