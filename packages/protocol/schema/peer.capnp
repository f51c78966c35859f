@0xc7d1a80f5e2b9364;

# Datagrams between the gateways of one deployment. Each may be lost, repeated
# or late. Fields are only added, never renumbered.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanillalever::protocol::peer");

struct Message {
  # Identity of the sender's run of the process.
  sender @0 :UInt64;
  # Grows with each message of the sender; older ones are ignored.
  sequence @1 :UInt64;
  # Load that the sender has open at servers.
  load @2 :Load;
  # Token budgets: asks for tokens, and tokens handed over.
  budgetAsk @3 :BudgetAsk;
  budgetGive @4 :BudgetGive;
  # Processor share of the sender's machine, in thousandths of a core.
  processor @5 :UInt16;
  # Changes that the sender passes on for others.
  relayed @6 :List(Relayed);
  # Prompts that the sender has sent to servers since its last message.
  prompts @7 :List(Prompt);
  # The same of other gateways, passed on.
  relayedPrompts @8 :List(Prompt);
  # Call for the tokens of a program that the receiver does not use.
  budgetCallIn @9 :BudgetCallIn;
}

# One prompt that a server has read, or is about to.
struct Prompt {
  # Hash of the server's identity.
  server @0 :UInt64;
  # Keys of its prefixes in order, and the tokens that each adds.
  keys @1 :List(UInt64);
  tokens @2 :List(UInt32);
}

struct Load {
  # Servers that are not listed have nothing open; otherwise they are unchanged.
  complete @0 :Bool;
  servers @1 :List(ServerLoad);
}

# Changes of one gateway's load, passed on by another.
struct Relayed {
  origin @0 :UInt64;
  servers @1 :List(ServerLoad);
}

struct ServerLoad {
  # Hash of the server's identity.
  server @0 :UInt64;
  # Requests that the sender has open there.
  open @1 :UInt16;
  # Factor on the server's work in percent, as just reported; 0 if unknown.
  slowness @2 :UInt16;
  # Prompt tokens sent there and not yet computed.
  prefillTokens @3 :UInt32;
  # Requests that the server answered, and that failed there, since the sender's
  # last message.
  answered @4 :UInt16;
  failed @5 :UInt16;
}

struct BudgetAsk {
  # Identity of the ask at its sender.
  ask @0 :UInt64;
  program @1 :Text;
  budget @2 :UInt32;
  # Tokens that are asked for.
  tokens @3 :UInt32;
  # Tokens that the sender knows to be reserved.
  reserved @4 :UInt32;
  # Part of them that was advanced and not durable when the sender last heard.
  advanced @5 :UInt32;
}

struct BudgetCallIn {
  # Identity of the call at its sender.
  call @0 :UInt64;
  program @1 :Text;
  # Tokens that are reserved in all, as far as the sender knows.
  reserved @2 :UInt32;
}

struct BudgetGive {
  # Identity of the ask or the call that this answers.
  ask @0 :UInt64;
  program @1 :Text;
  # Tokens that are the receiver's from now on.
  tokens @2 :UInt32;
  # Tokens that are reserved in all, as far as the sender knows.
  reserved @3 :UInt32;
  # Part of them that is advanced and not durable.
  advanced @4 :UInt32;
}
