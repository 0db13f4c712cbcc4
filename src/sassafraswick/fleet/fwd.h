#ifndef SASSAFRASWICK_FLEET_FWD_H_
#define SASSAFRASWICK_FLEET_FWD_H_

namespace sassafraswick {

class hub_contacts;
class news_log;
class record_pace;
class version_catch_up;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_FWD_H_
