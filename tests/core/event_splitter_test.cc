#include "core/event_splitter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace rattanramp;

// Guards against a missing, duplicated or merged event: only complete events are returned, whatever
// the sizes of the chunks are.
Test(event_splitter, passes_complete_events_only) {
  const std::string stream = "id: 1\ndata: a\n\nversion: 3\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
  const bool ok = rc::check("chunks", [&] {
    core::EventSplitter splitter;
    std::string passed;
    std::size_t offset = 0;
    while (offset < stream.size()) {
      const std::size_t size = *rc::gen::inRange<std::size_t>(1, 20);
      passed += core::TakeCompleteEvents(splitter, std::string_view(stream).substr(offset, size));
      offset += size;
    }
    RC_ASSERT(passed == stream.substr(0, stream.find("id: 3")));
    RC_ASSERT(splitter.last_id.has_value());
    RC_ASSERT(*splitter.last_id == 2);
    RC_ASSERT(splitter.events == 2);
  });
  cr_assert(ok);
}

// Guards against merging the incomplete event of a crashed engine with the continuation of the
// stream.
Test(event_splitter, partial_event_is_dropped_before_a_continuation) {
  core::EventSplitter splitter;
  cr_assert_eq(core::TakeCompleteEvents(splitter, "id: 1\ndata: a\n\nid: 2\nda"),
               "id: 1\ndata: a\n\n");
  core::DropPartialEvent(splitter);
  cr_assert_eq(core::TakeCompleteEvents(splitter, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  cr_assert_eq(*splitter.last_id, 2);
}
