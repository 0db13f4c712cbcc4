#ifndef SASSAFRASWICK_SESSION_FWD_H_
#define SASSAFRASWICK_SESSION_FWD_H_

namespace sassafraswick {

struct statement;
struct statement_result;
class session_engine;
class shutdown_schedule;
class session_state;
struct connection_session_state;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_FWD_H_
