@0xa94f0c7be15d2836;

# What the gateways keep in the shared table about streams that callers may take
# up again. Fields are only added, never renumbered.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanillalever::protocol::stream");

# Where a stream began. Written while more than one version serves.
struct StreamOrigin {
  service @0 :Text;
  # Version of the software of the server that sent the first event.
  version @1 :Text;
}

# Software versions that serve a service, or served it recently.
struct ServiceVersions {
  versions @0 :List(ServedVersion);
}

struct ServedVersion {
  version @0 :Text;
  # Unix time in ms at which the last server of this version left; 0 while one
  # is registered.
  leftAtMs @1 :Int64;
}
