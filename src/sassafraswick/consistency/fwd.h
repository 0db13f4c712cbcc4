#ifndef SASSAFRASWICK_CONSISTENCY_FWD_H_
#define SASSAFRASWICK_CONSISTENCY_FWD_H_

namespace sassafraswick {

struct read_requirement;
struct token_scope;
class token_codec;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_FWD_H_
