@0xe2a94c7d1b06f583;

# Calls to the shared table that a gateway makes through another one. Fields are
# only added, never renumbered.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanillalever::protocol::table");

struct TableCall {
  union {
    # Conditional writes that are applied together.
    transact @0 :List(Write);
    read @1 :Range;
  }
}

struct Write {
  table @0 :Text;
  partition @1 :Text;
  key @2 :Data;
  # Version that the row must have; zero requires that it does not exist.
  expectedVersion @3 :UInt64;
  # Deletes the row instead of writing `value`.
  deletes @4 :Bool;
  value @5 :Data;
}

struct Range {
  table @0 :Text;
  partition @1 :Text;
  from @2 :Data;
  # Exclusive; empty for no end.
  to @3 :Data;
}

struct TableReply {
  outcome @0 :Outcome;
  version @1 :UInt64;
  # Rows read, or the present rows after a conflict.
  rows @2 :List(Row);
  reason @3 :Text;
}

enum Outcome {
  done @0;
  conflict @1;
  notDone @2;
  unknown @3;
}

struct Row {
  table @0 :Text;
  partition @1 :Text;
  key @2 :Data;
  version @3 :UInt64;
  value @4 :Data;
}
