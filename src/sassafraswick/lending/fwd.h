#ifndef SASSAFRASWICK_LENDING_FWD_H_
#define SASSAFRASWICK_LENDING_FWD_H_

/// @file
/// Forward declarations of the module `lending`, by which hosts share the
/// connections to an instance: its home host opens them and lends them to the
/// others.

namespace sassafraswick {

class home_directory;
struct home_candidate;
struct host_capacity;
struct instance_location;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LENDING_FWD_H_
