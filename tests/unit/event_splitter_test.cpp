#include "galenapulley/event_splitter.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <string>

using namespace galenapulley;

// Guards against a partial event that is forwarded to the client: a resumed
// stream would repeat the forwarded part.
BOOST_AUTO_TEST_CASE(only_complete_events_are_forwarded)
{
    event_splitter splitter;
    BOOST_TEST(splitter.feed("id: 4\ndata: a\n").empty());
    BOOST_TEST(splitter.has_partial());
    BOOST_TEST(splitter.feed("\nid: 5\nda") == "id: 4\ndata: a\n\n");
    BOOST_TEST(*splitter.first_id() == 4U);
    BOOST_TEST(*splitter.last_id() == 4U);
    BOOST_TEST(splitter.feed("ta: b\n\n") == "id: 5\ndata: b\n\n");
    BOOST_TEST(*splitter.last_id() == 5U);
    BOOST_TEST(!splitter.has_partial());
}

BOOST_AUTO_TEST_CASE(events_with_crlf_are_parsed)
{
    event_splitter splitter;
    const std::string event = "id:7\r\ndata: a\r\n\r\n";
    BOOST_TEST(splitter.feed(event) == event);
    BOOST_TEST(*splitter.last_id() == 7U);
}

// Guards against chunk boundaries that change the forwarded events.
RC_BOOST_PROP(chunk_boundaries_do_not_matter,
              (const std::vector<std::uint8_t>& cuts))
{
    std::string stream;
    for (int n = 1; n <= 12; ++n)
        stream += "id: " + std::to_string(n) + "\ndata: x\n\n";
    event_splitter splitter;
    std::string out;
    std::size_t at = 0;
    for (const auto cut : cuts)
    {
        const auto n = std::min<std::size_t>(cut % 9, stream.size() - at);
        out += splitter.feed(std::string_view(stream).substr(at, n));
        at += n;
    }
    out += splitter.feed(std::string_view(stream).substr(at));
    RC_ASSERT(out == stream);
    RC_ASSERT(splitter.event_count() == 12U);
    RC_ASSERT(*splitter.last_id() == 12U);
}

// Guards against memory that an endpoint fills with bytes that are no events.
BOOST_AUTO_TEST_CASE(bytes_without_end_are_noticed)
{
    event_splitter splitter;
    const std::string bytes(8192, 'x');
    std::size_t fed = 0;
    while (!splitter.is_oversized() &&
           fed < 4 * event_splitter::max_event_bytes)
    {
        BOOST_TEST(splitter.feed(bytes).empty());
        fed += bytes.size();
    }
    BOOST_TEST(splitter.is_oversized());
    BOOST_TEST(fed <= event_splitter::max_event_bytes + bytes.size());
}
