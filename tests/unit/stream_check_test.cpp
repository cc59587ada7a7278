#include "galenapulley/stream_check.hpp"

#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace galenapulley;

namespace
{

std::string text_of(std::size_t index)
{
    return "w" + std::to_string(index);
}

std::string text_event(const std::string& id, std::size_t index,
                       const std::string& text)
{
    return nlohmann::json{{"id", id}, {"index", index}, {"text", text}}.dump();
}

std::string finish_event(const std::string& id, std::size_t count)
{
    return nlohmann::json{{"id", id}, {"finish", "stop"}, {"count", count}}
        .dump();
}

std::string as_stream(const std::vector<std::string>& data,
                      const std::string& newline = "\n")
{
    std::string out;
    for (const auto& it : data)
    {
        out += "data: ";
        out += it;
        out += newline;
        out += newline;
    }
    return out;
}

std::vector<std::string> complete_stream(const std::string& id,
                                         std::size_t count)
{
    std::vector<std::string> data;
    for (std::size_t n = 0; n < count; ++n)
        data.push_back(text_event(id, n, text_of(n)));
    data.push_back(finish_event(id, count));
    data.emplace_back("[DONE]");
    return data;
}

std::string joined(const std::vector<stream_event>& events)
{
    std::string out;
    for (const auto& it : events)
        out += it.is_finish ? "#" + std::to_string(it.index) : it.text;
    return out;
}

/// Result of the reference implementation, which checks events one by one.
struct reference_result
{
    stream_state state = stream_state::reading;
    std::string forwarded;
    std::vector<std::string> texts;
};

reference_result reference_check(const std::string& id,
                                 const std::vector<std::string>& data)
{
    reference_result result;
    bool finished = false;
    for (const auto& it : data)
    {
        if (it == "[DONE]")
        {
            result.state =
                finished ? stream_state::complete : stream_state::needs_resume;
            if (finished)
                result.forwarded += "#" + std::to_string(result.texts.size());
            return result;
        }
        const auto event = nlohmann::json::parse(it);
        const auto number =
            event.value("index", event.value("count", std::size_t{0}));
        const auto wrong =
            event["id"] != id ||
            (event.contains("finish") && number < result.texts.size()) ||
            (event.contains("text") && number < result.texts.size() &&
             event["text"] != result.texts[number]) ||
            (event.contains("text") && number >= result.texts.size() &&
             finished);
        if (wrong || number > result.texts.size())
        {
            result.state =
                wrong ? stream_state::inconsistent : stream_state::needs_resume;
            return result;
        }
        finished = finished || event.contains("finish");
        if (event.contains("text") && number == result.texts.size())
        {
            result.texts.push_back(event["text"]);
            result.forwarded += result.texts.back();
        }
    }
    result.state = stream_state::needs_resume;
    return result;
}

std::vector<std::string> damaged(std::vector<std::string> data)
{
    // Fixed size, so that small test cases include all kinds of damage.
    const auto changes = *rc::gen::resize(100, rc::gen::inRange(0, 4));
    for (int n = 0; n < changes && data.size() > 1; ++n)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, data.size());
        const auto position = data.begin() + static_cast<std::ptrdiff_t>(at);
        switch (*rc::gen::resize(100, rc::gen::inRange(0, 6)))
        {
        case 0:
            data.erase(position);
            break;
        case 1:
            data.insert(position, std::string(*position));
            break;
        case 2:
            std::swap(data[at], data[data.size() - 1 - at]);
            break;
        case 3:
            data.resize(at);
            break;
        case 4:
            data.insert(position, text_event("other", at, text_of(at)));
            break;
        default:
            data.insert(position, text_event("t1", at / 2, "changed"));
            break;
        }
    }
    return data;
}

} // namespace

// Guards against chunk boundaries or line endings that change the forwarded
// events, and against streams with lost, duplicate, reordered, foreign or
// truncated events that count as complete.
RC_BOOST_PROP(agrees_with_a_reference_parser, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(0, 12);
    const auto data = damaged(complete_stream("t1", size));
    const auto newline = *rc::gen::element<std::string>("\n", "\r\n", "\r");
    const auto bytes = as_stream(data, newline);
    stream_check check("t1");
    std::vector<stream_event> events;
    for (std::size_t n = 0; n < bytes.size();)
    {
        const auto length = *rc::gen::inRange<std::size_t>(1, 40);
        for (auto& it : check.feed(std::string_view(bytes).substr(n, length)))
            events.push_back(it);
        n += length;
    }
    check.end_of_input();
    const auto expected = reference_check("t1", data);
    RC_ASSERT((check.state() == expected.state));
    RC_ASSERT(joined(events) == expected.forwarded);
    RC_ASSERT(check.next_index() == expected.texts.size());
}

// Guards against a resumed stream that duplicates or loses events, or forwards
// the finish event twice.
RC_BOOST_PROP(resumed_stream_completes_the_response, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    const auto cut = *rc::gen::inRange<std::size_t>(0, size + 2);
    auto data = complete_stream("t1", size);
    data.resize(cut);
    stream_check check("t1");
    auto text = joined(check.feed(as_stream(data)));
    check.end_of_input();
    RC_ASSERT((check.state() == stream_state::needs_resume));
    check.resume("t2");
    const auto rest = complete_stream("t2", size);
    const auto from = *rc::gen::inRange<std::size_t>(0, check.next_index() + 1);
    text += joined(check.feed(as_stream(
        {rest.begin() + static_cast<std::ptrdiff_t>(from), rest.end()})));
    RC_ASSERT((check.state() == stream_state::complete));
    stream_check undisturbed("t1");
    RC_ASSERT(text ==
              joined(undisturbed.feed(as_stream(complete_stream("t1", size)))));
}

// Guards against a finish event that is forwarded before the end marker: after
// a resume the client would receive it twice.
BOOST_AUTO_TEST_CASE(finish_waits_for_the_end_marker)
{
    stream_check check("t1");
    BOOST_TEST(check.feed(as_stream({finish_event("t1", 0)})).empty());
    BOOST_TEST(check.feed(as_stream({"[DONE]"})).size() == 1U);
    BOOST_TEST((check.state() == stream_state::complete));
}

// Guards against an overlap with different text that counts as a duplicate: the
// client would receive the start of one response and the end of another.
BOOST_AUTO_TEST_CASE(overlap_must_have_the_same_text)
{
    for (const auto* text : {"w0", "other"})
    {
        stream_check check("t1");
        check.feed(as_stream({text_event("t1", 0, "w0")}));
        BOOST_TEST(check.feed(as_stream({text_event("t1", 0, text)})).empty());
        const auto expected = text == std::string("w0")
                                  ? stream_state::reading
                                  : stream_state::inconsistent;
        BOOST_TEST((check.state() == expected));
    }
}

// Guards against memory that grows without limit during an endless event.
BOOST_AUTO_TEST_CASE(endless_event_is_rejected)
{
    stream_check check("t1");
    const std::string chunk(65'536, 'x');
    int fed = 0;
    while (check.state() == stream_state::reading && fed < 100)
    {
        check.feed(chunk);
        ++fed;
    }
    BOOST_TEST((check.state() == stream_state::inconsistent));
    BOOST_TEST(fed <= 17);
}

// Guards against arbitrary bytes that cause a crash or count as complete.
BOOST_AUTO_TEST_CASE(random_bytes_never_complete)
{
    std::mt19937 random(20261204);
    const std::string alphabet = "data: {}[]\"id\r\n\n:t1index,0DONE\\\xff";
    for (int round = 0; round < 20'000; ++round)
    {
        stream_check check("t1");
        std::string bytes = round % 2 == 0 ? "data: " : "";
        for (auto n = random() % 200; n > 0; --n)
            bytes += alphabet[random() % alphabet.size()];
        bytes += "\n\n";
        const auto events = check.feed(bytes);
        check.end_of_input();
        BOOST_REQUIRE(events.empty());
        BOOST_REQUIRE((check.state() != stream_state::complete));
        BOOST_REQUIRE((check.state() != stream_state::reading));
    }
}
