#ifndef SASSAFRASWICK_PEER_FWD_H_
#define SASSAFRASWICK_PEER_FWD_H_

namespace sassafraswick {

struct fleet_member;
struct fleet_table;
class peer_link;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PEER_FWD_H_
