#include "core/event_splitter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

using namespace rattanramp;
using core::StreamEnding;

// Guards against a missing, duplicated or merged event: only complete events are returned, whatever
// the sizes of the chunks are.
Test(event_splitter, passes_complete_events_only) {
  const std::string stream = "id: 1\ndata: a\n\nversion: 3\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
  const bool ok = rc::check("chunks", [&] {
    core::EventSplitter splitter;
    splitter.version_field = "version";
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

namespace {

/// Passes the text in pieces of random size.
std::string PassInPieces(core::EventSplitter& splitter, std::string_view text) {
  std::string passed;
  while (!text.empty()) {
    const std::size_t size = *rc::gen::inRange<std::size_t>(1, 30);
    passed += core::TakeCompleteEvents(splitter, text.substr(0, size));
    text.remove_prefix(std::min(size, text.size()));
  }
  return passed;
}

std::string EventText(std::int64_t id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

/// One event as a sound engine may send it.
std::string SoundEvent(std::int64_t id) {
  const std::string end = *rc::gen::element<std::string>("\n", "\r\n");
  std::string event;
  if (*rc::gen::inRange(0, 4) == 0) {
    event += ": comment" + end + *rc::gen::element<std::string>("", end);
  }
  if (*rc::gen::inRange(0, 4) == 0) {
    event += "version: 12" + end;
  }
  const std::string id_line =
      *rc::gen::element<std::string>("id:", "id: ") + std::to_string(id) + end;
  std::string data;
  for (int i = *rc::gen::inRange(0, 3); i >= 0; --i) {
    data +=
        *rc::gen::element<std::string>("data: HTTP/1.1 500", "data", "data:", "data: id: 1") + end;
  }
  event += *rc::gen::element<std::string>(id_line + data, data + id_line);
  event += *rc::gen::element<std::string>("", "event: token" + end, "retry: 5" + end);
  return event + end;
}

}  // namespace

// Guards against rejecting what sound engines send: comments, a line for the version of the
// weights, either line end, several lines of data, and ids that start and go on at any number.
Test(event_splitter, sound_streams_pass_unchanged) {
  const bool ok = rc::check("sound streams", [] {
    core::EventSplitter splitter;
    splitter.version_field = "version";
    std::int64_t id = *rc::gen::inRange<std::int64_t>(0, 2'000'000'000);
    if (*rc::gen::arbitrary<bool>() && id > 0) {
      splitter.last_id = id - 1;
    }
    std::string stream;
    const int count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      stream += SoundEvent(id);
      id += *rc::gen::inRange(1, 9);
    }
    RC_ASSERT(PassInPieces(splitter, stream) == stream);
    RC_ASSERT(!splitter.is_malformed);
    RC_ASSERT(core::JudgeEnding(splitter, true) == StreamEnding::kWhole);
    RC_ASSERT(core::JudgeEnding(splitter, false) == StreamEnding::kUnstated);
    RC_ASSERT(splitter.events == count);
  });
  cr_assert(ok);
}

// Guards against the text of an error, or its head, in the caller's stream: nothing after the last
// whole event is passed, wherever in an event or a piece of the stream the foreign bytes begin.
Test(event_splitter, foreign_bytes_are_not_passed) {
  // These begin with a line that is no field of an event.
  const std::vector<std::string> foreign = {
      "HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\nfailed\n\n",
      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n",
      "Content-Type: text/plain\r\n\r\nfailed\n\n",
      "{\"error\":\"failed\"}\n\n",
      "internal error\n\n",
      "<html>\n\n</html>\n\n",
      std::string("\0\x16\xff\n\n", 5)};
  // These look like events, but lack an id, or state one twice or not as a number.
  const std::vector<std::string> false_events = {"data: internal error\n\n",
                                                 "event: error\ndata: internal error\n\n",
                                                 "version: x\nid: 3\ndata: x\n\n",
                                                 "id: 3x\ndata: x\n\n",
                                                 "id: 3\nid: 3\ndata: x\n\n",
                                                 "id: 3\nversion: 2\ndata: x\n\n",
                                                 "id: -3\ndata: x\n\n",
                                                 "id:\ndata: x\n\n"};
  const bool ok = rc::check("foreign bytes", [&] {
    core::EventSplitter splitter;
    splitter.version_field = "version";
    const std::string sound = EventText(1) + EventText(2);
    const bool is_in_event = *rc::gen::arbitrary<bool>();
    const std::string& text =
        *rc::gen::elementOf(is_in_event || *rc::gen::arbitrary<bool>() ? foreign : false_events);
    // Within the data, only a head of several lines can be distinguished from text of the engine.
    const std::size_t max_cut = text.starts_with("HTTP") ? EventText(3).size() - 2 : 10;
    const std::string cut =
        EventText(3).substr(0, is_in_event ? *rc::gen::inRange<std::size_t>(1, max_cut + 1) : 0);
    RC_ASSERT(PassInPieces(splitter, sound + cut + text + EventText(3) + EventText(4)) == sound);
    RC_ASSERT(splitter.is_malformed);
    RC_ASSERT(*splitter.last_id == 2);
  });
  cr_assert(ok);
}

// Guards against a continuation that does not go on after the last event: one that begins anew,
// repeats events or leaves some out.
Test(event_splitter, continuation_goes_on_after_the_last_event) {
  const bool ok = rc::check("continuation", [] {
    core::EventSplitter splitter;
    const std::int64_t start = *rc::gen::inRange<std::int64_t>(0, 1'000);
    splitter.last_id = start;
    const std::int64_t count = *rc::gen::inRange<std::int64_t>(1, 5);
    for (std::int64_t i = 1; i <= count; ++i) {
      RC_ASSERT(PassInPieces(splitter, EventText(start + i)) == EventText(start + i));
    }
    RC_ASSERT(PassInPieces(splitter, "id: 7\nda").empty());
    core::DropPartialEvent(splitter);
    const std::int64_t next = *rc::gen::inRange<std::int64_t>(0, start + count + 9);
    const bool goes_on = next == start + count + 1;
    RC_ASSERT(PassInPieces(splitter, EventText(next)) == (goes_on ? EventText(next) : ""));
    RC_ASSERT(splitter.is_malformed == !goes_on);
  });
  cr_assert(ok);
}

// Guards against a repeated or older event within the stream of one engine.
Test(event_splitter, ids_increase_within_a_stream) {
  for (const std::string& next : {EventText(5), EventText(4), EventText(1)}) {
    core::EventSplitter splitter;
    cr_assert_eq(core::TakeCompleteEvents(splitter, EventText(4) + EventText(5) + next),
                 EventText(4) + EventText(5));
    cr_assert(splitter.is_malformed);
  }
}

// Guards against a stream that ends in the middle of an event and counts as complete.
Test(event_splitter, unfinished_event_is_seen) {
  for (const std::string rest : {"i", "id: 2", "id: 2\n", "id: 2\ndata: x\n", "data: x\n: c"}) {
    core::EventSplitter splitter;
    cr_assert_eq(core::TakeCompleteEvents(splitter, EventText(1) + rest), EventText(1));
    for (const bool is_end_stated : {true, false}) {
      cr_assert(core::JudgeEnding(splitter, is_end_stated) == StreamEnding::kBroken, "%s",
                rest.c_str());
    }
  }
  for (const std::string rest : {"", ": c", ": c\n", ": c\n\n", "\r", "\r\n"}) {
    core::EventSplitter splitter;
    core::TakeCompleteEvents(splitter, EventText(1) + rest);
    cr_assert(core::JudgeEnding(splitter, true) == StreamEnding::kWhole, "%s", rest.c_str());
  }
}

// Guards against an end that nobody has stated and counts as complete: between two events it is not
// known whether the upstream has crashed, and within a comment or a line end it has.
Test(event_splitter, unstated_end_is_not_complete) {
  for (const std::string rest : {":", ": c", ": c\n", ": c\r\n\r", "\r"}) {
    core::EventSplitter splitter;
    core::TakeCompleteEvents(splitter, EventText(1) + rest);
    cr_assert(core::JudgeEnding(splitter, false) == StreamEnding::kBroken, "%s", rest.c_str());
  }
  for (const std::string rest : {"", ": c\n\n", "\r\n"}) {
    core::EventSplitter splitter;
    core::TakeCompleteEvents(splitter, EventText(1) + rest);
    cr_assert(core::JudgeEnding(splitter, false) == StreamEnding::kUnstated, "%s", rest.c_str());
    core::DropPartialEvent(splitter);
    cr_assert(core::JudgeEnding(splitter, false) == StreamEnding::kNoEvent, "%s", rest.c_str());
    core::TakeCompleteEvents(splitter, ": c\n\n");
    cr_assert(core::JudgeEnding(splitter, false) == StreamEnding::kNoEvent, "%s", rest.c_str());
    core::TakeCompleteEvents(splitter, EventText(2));
    cr_assert(core::JudgeEnding(splitter, false) == StreamEnding::kUnstated, "%s", rest.c_str());
  }
  cr_assert(core::JudgeEnding(core::EventSplitter(), false) == StreamEnding::kNoEvent);
  cr_assert(core::JudgeEnding(core::EventSplitter(), true) == StreamEnding::kWhole);
}
