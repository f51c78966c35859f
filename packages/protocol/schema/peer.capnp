@0xc7d1a80f5e2b9364;

# Datagrams between the gateways of one deployment. They may be lost, duplicated
# or delayed. Fields are only added, never renumbered.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanillalever::protocol::peer");

struct Message {
  # Id of this run of the sender's process.
  sender @0 :UInt64;
  # Increases with each message of the sender; older messages are ignored except
  # for their budget parts.
  sequence @1 :UInt64;
  # The sender's load at the servers.
  load @2 :Load;
  # No longer sent.
  budgetAsk @3 :BudgetAsk;
  # Tokens of a budget, transferred to the receiver.
  budgetGive @4 :BudgetGive;
  # CPU share of the sender's machine, in thousandths of a core.
  processor @5 :UInt16;
  # Load changes that the sender relays for other gateways.
  relayed @6 :List(Relayed);
  # Prompts that the sender has sent to servers since its last message.
  prompts @7 :List(Prompt);
  # Prompts of other gateways, relayed by the sender.
  relayedPrompts @8 :List(Prompt);
  # Request to release tokens that the receiver does not use.
  budgetCallIn @9 :BudgetCallIn;
  # The store responds to the sender, so that others can call it through the
  # sender.
  reachesStore @10 :Bool;
  # Requests that were at work in crashes of servers.
  strikes @11 :List(Strike);
  # Row of a budget, just written.
  budgetRow @12 :BudgetKnowledge;
  # Requests that count toward the allotments of organisations.
  allotments @13 :List(AllotmentUse);
}

# Requests of one gateway that count toward the allotment of an organisation.
struct AllotmentUse {
  # Hash of the organisation's name.
  organisation @0 :UInt32;
  # Requests counted since the gateway's start, and those of them that have not
  # run; modulo 2^32.
  taken @1 :UInt32;
  returned @2 :UInt32;
  # Those counted since the gateway's last announcement.
  recent @3 :UInt16;
  # The gateway, if the sender relays its announcement; 0 for the sender itself.
  origin @4 :UInt64;
}

# A request that was at work when a server crashed, or that has completed since.
struct Strike {
  # Hash of the request's content, in hexadecimal.
  fingerprint @0 :Text;
  # The run of the server that ended; empty if the request has completed since,
  # or is at work as a trial.
  crash @1 :Text;
  # How long the request had been at work there, in microseconds.
  atWorkUs @2 :UInt32;
  # The sender has sent the request as a trial, which has not ended.
  trial @3 :Bool;
}

# One prompt that a server has processed or is about to process.
struct Prompt {
  # Hash of the server's id.
  server @0 :UInt64;
  # Keys of its prefixes in order, and the tokens that each adds.
  keys @1 :List(UInt64);
  tokens @2 :List(UInt32);
}

struct Load {
  # If set, the sender has no load at servers that are not listed; else its load
  # there is unchanged.
  complete @0 :Bool;
  servers @1 :List(ServerLoad);
  # Lists further servers of the sender's last complete load, which did not fit
  # into one message.
  continued @2 :Bool;
}

# Changes of one gateway's load, relayed by another.
struct Relayed {
  origin @0 :UInt64;
  servers @1 :List(ServerLoad);
}

struct ServerLoad {
  # Hash of the server's id.
  server @0 :UInt64;
  # Open requests of the sender at the server.
  open @1 :UInt16;
  # Slowdown factor of the server in percent, as just reported; 0 if unknown.
  slowness @2 :UInt16;
  # Prompt tokens sent to the server and not yet computed.
  prefillTokens @3 :UInt32;
  # Requests that the server answered, and requests that failed at the server,
  # since the sender's last message.
  answered @4 :UInt16;
  failed @5 :UInt16;
  # Requests a second that the server takes from all gateways, in thousandths; 0
  # if it stated no limit. Absent if rateStated is not set.
  rateMilli @6 :UInt32;
  # Age of that statement in ms.
  rateAgeMs @7 :UInt32;
  rateStated @8 :Bool;
  # Requests that the sender has sent to the server since its start; only with
  # rateStated.
  sends @9 :UInt32;
  # Those of the open requests that were at work in several crashes.
  suspects @10 :UInt16;
  # Start time (Unix milliseconds, plus one) of the server's run that has said
  # that it leaves; 0 if it has not.
  leavingRun @11 :UInt64;
}

# Request for tokens in releases before shares; no longer sent.
struct BudgetAsk {
  ask @0 :UInt64;
  program @1 :Text;
  budget @2 :UInt32;
  tokens @3 :UInt32;
  reserved @4 :UInt32;
  advanced @5 :UInt32;
}

# What the sender knows of a program's budget.
struct BudgetKnowledge {
  program @0 :Text;
  # Version of the row; 0 if the sender has not seen it.
  version @1 :UInt64;
  # Value of the row.
  row @2 :Text;
  # Claims that the sender does not know to be in the row, as a row.
  claims @3 :Text;
}

# Request for tokens that the receiver does not use.
struct BudgetCallIn {
  # Id of the request, chosen by the sender.
  call @0 :UInt64;
  program @1 :Text;
  # Total tokens reserved, as far as the sender knows; for earlier releases.
  reserved @2 :UInt32;
  # Most tokens that the receiver is to transfer.
  tokens @3 :UInt32;
  # Tokens that the sender will grant unless a gateway knows the program; 0 if
  # it claims none.
  claim @4 :UInt32;
  knowledge @5 :BudgetKnowledge;
}

struct BudgetGive {
  # Id of the request that this replies to; 0 for tokens handed over by a
  # gateway that stops.
  ask @0 :UInt64;
  program @1 :Text;
  # Tokens transferred to the receiver.
  tokens @2 :UInt32;
  # Total tokens reserved, as far as the sender knows; for earlier releases.
  reserved @3 :UInt32;
  # No longer set.
  advanced @4 :UInt32;
  # The sender knew nothing of the program, and remembers the receiver's claim.
  claimAccepted @5 :Bool;
  knowledge @6 :BudgetKnowledge;
}
