#ifndef SASSAFRASWICK_WIRE_FWD_H_
#define SASSAFRASWICK_WIRE_FWD_H_

namespace sassafraswick {

struct frame_view;
struct startup_request;
struct statement_class;
class frame_buffer;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_WIRE_FWD_H_
