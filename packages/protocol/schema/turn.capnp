@0xd3b1f6a2c48e0975;

# Record of one turn of a conversation, as kept in the shared table. Fields are
# only added, never renumbered.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanillalever::protocol::turn");

struct TurnRecord {
  # Ids of the earlier turns of the conversation, from the predecessor to older
  # ones. They are read in parallel; the list is bounded, and the oldest listed
  # turn names the ones before it.
  ancestors @0 :List(Text);
  # New input of the turn, without the history.
  input @1 :Data;
  # Data of each event of the response, each followed by a line feed.
  output @2 :Data;
  # Organisation whose caller produced the turn, empty if it belongs to none;
  # absent in deployments without organisations, and in records of versions that
  # knew none.
  organisation @3 :Text;
  # How long the turn is promised to be kept after its response. Zero in records
  # of versions that did not state it.
  retentionMs @4 :UInt64;
  # Size of the inputs and outputs of all turns before this one. Zero in records
  # of versions that did not state it.
  historyBytes @5 :UInt64;
}

# What the deletion of records needs to know of one, kept in a row of its own.
struct TurnIndexEntry {
  # Id of the turn before this one; empty for the first of a conversation.
  previous @0 :Text;
  # As in TurnRecord.
  retentionMs @1 :UInt64;
  # Number of rows of the record.
  rows @2 :UInt32;
}
