#ifndef SASSAFRASWICK_FLEET_FWD_H_
#define SASSAFRASWICK_FLEET_FWD_H_

namespace sassafraswick {

class hub_contacts;
class news_log;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_FWD_H_
