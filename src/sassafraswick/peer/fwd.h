#ifndef SASSAFRASWICK_PEER_FWD_H_
#define SASSAFRASWICK_PEER_FWD_H_

namespace sassafraswick {

struct member;
struct membership;
struct membership_settings;
class peer_link;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PEER_FWD_H_
