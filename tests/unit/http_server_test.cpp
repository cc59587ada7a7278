#include "node/http_client.hpp"
#include "node/http_server.hpp"

#include "raw_sockets.hpp"

#include <boost/test/unit_test.hpp>

#include <future>
#include <map>
#include <random>

using namespace galenapulley;

namespace
{

using exchange_ptr = std::shared_ptr<http_exchange>;

std::string url_of(const http_server& server, const std::string& path = "/")
{
    return "http://127.0.0.1:" + std::to_string(server.port()) + path;
}

http_result result_of(http_call call)
{
    http_client client;
    std::promise<http_result> promise;
    client.start(std::move(call), [&promise](const http_result& result)
                 { promise.set_value(result); });
    return promise.get_future().get();
}

/// Responds to requests after a random delay, from its own thread.
class delayed_responder
{
public:
    delayed_responder() : thread_([this] { serve(); }) {}
    ~delayed_responder()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_one();
        thread_.join();
    }

    void add(const http_request& request, const exchange_ptr& exchange)
    {
        const std::lock_guard lock(mutex_);
        const std::chrono::milliseconds delay(delays_(random_));
        due_.emplace(time::now() + delay, pending{request.path, exchange});
        all_.push_back(exchange);
        changed_.notify_one();
    }

    /// Number of exchanges that are still referenced.
    std::size_t held() const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(
            std::count_if(all_.begin(), all_.end(),
                          [](const auto& it) { return !it.expired(); }));
    }

private:
    using time = std::chrono::steady_clock;
    struct pending
    {
        std::string path;
        exchange_ptr exchange;
    };

    void serve()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_)
        {
            if (due_.empty())
                changed_.wait(lock);
            else if (due_.begin()->first > time::now())
                changed_.wait_until(lock, due_.begin()->first);
            else
            {
                const auto next = due_.extract(due_.begin()).mapped();
                lock.unlock();
                respond(next);
                lock.lock();
            }
        }
    }

    static void respond(const pending& next)
    {
        if (next.path.rfind("/stream", 0) != 0)
        {
            next.exchange->respond({.body = next.path});
            return;
        }
        next.exchange->start_stream({.content_type = "text/event-stream"});
        for (int n = 0; n < 5; ++n)
            next.exchange->write(next.path);
        next.exchange->finish_stream();
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<time::time_point, pending> due_;
    std::vector<std::weak_ptr<http_exchange>> all_;
    std::mt19937 random_{1};
    std::uniform_int_distribution<int> delays_{0, 40};
    bool stopping_ = false;
    std::thread thread_;
};

struct response_counts
{
    int complete = 0;
    int aborted = 0;
    int wrong = 0;
};

/// One client, which closes every second connection within 30 ms.
class test_client
{
public:
    test_client(std::uint16_t port, unsigned id)
        : port_(port), id_(id), random_(id)
    {
    }

    response_counts run(std::chrono::steady_clock::time_point end)
    {
        for (int n = 0; std::chrono::steady_clock::now() < end; ++n)
        {
            const auto peer = raw::socket::connected(port_);
            if (n % 2 == 0)
                disconnect_early(peer, n);
            else
                for (int k = 0; k < 3; ++k)
                    check_response(peer, n * 10 + k);
        }
        return counts_;
    }

private:
    std::string send_request(const raw::socket& peer, int n)
    {
        auto path = std::string(random_() % 2 == 0 ? "/stream/" : "/plain/") +
                    std::to_string(id_) + "/" + std::to_string(n) + "/";
        peer.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        return path;
    }

    void disconnect_early(const raw::socket& peer, int n)
    {
        send_request(peer, n);
        peer.readable(static_cast<int>(random_() % 30));
        // Half of these connections are reset.
        const linger reset{static_cast<int>(random_() % 2), 0};
        ::setsockopt(peer.fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ++counts_.aborted;
    }

    void check_response(const raw::socket& peer, int n)
    {
        const auto path = send_request(peer, n);
        std::string expected = path;
        std::string body;
        if (path.rfind("/stream", 0) == 0)
        {
            const auto text = peer.receive_until("\r\n0\r\n\r\n");
            for (auto at = text.find("/stream"); at != std::string::npos;
                 at = text.find("/stream", at + 1))
                body += text.substr(at, text.find("\r\n", at) - at);
            for (int k = 1; k < 5; ++k)
                expected += path;
        }
        else
        {
            const auto text = peer.receive_message();
            body =
                text.substr(std::min(text.find("\r\n\r\n") + 4, text.size()));
        }
        ++(body == expected ? counts_.complete : counts_.wrong);
    }

    std::uint16_t port_;
    unsigned id_;
    std::mt19937 random_;
    response_counts counts_;
};

} // namespace

// Guards against responses that reach another client, or none, when clients
// disconnect while responses are sent late from another thread.
BOOST_AUTO_TEST_CASE(responses_reach_their_own_clients)
{
    constexpr unsigned clients = 24;
    delayed_responder responder;
    http_server server(
        {.workers = 3},
        [&responder](const http_request& request, const exchange_ptr& exchange)
        { responder.add(request, exchange); });
    server.start();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    std::vector<std::future<response_counts>> results;
    for (unsigned id = 0; id < clients; ++id)
        results.push_back(
            std::async(std::launch::async, [&, id]
                       { return test_client(server.port(), id).run(end); }));
    response_counts sum;
    for (auto& it : results)
    {
        const auto counts = it.get();
        sum.complete += counts.complete;
        sum.aborted += counts.aborted;
        sum.wrong += counts.wrong;
    }
    BOOST_TEST_MESSAGE(sum.complete << " complete, " << sum.aborted
                                    << " aborted, " << sum.wrong
                                    << " wrong or missing");
    BOOST_TEST(sum.complete > 1000);
    BOOST_TEST(sum.aborted > 300);
    BOOST_TEST(sum.wrong == 0);
    // Exchanges of disconnected clients must be destroyed.
    const raw::counter never;
    for (int n = 0; n < 100 && responder.held() > 0; ++n)
        never.wait_for(1, 20);
    BOOST_TEST(responder.held() == 0U);
}

// Guards against an incomplete stream that looks complete to the client.
BOOST_AUTO_TEST_CASE(aborted_stream_is_reported_as_broken)
{
    http_server server({},
                       [](const http_request&, const exchange_ptr& exchange)
                       {
                           exchange->start_stream({});
                           exchange->write("part");
                           exchange->abort();
                           exchange->write("late");
                       });
    server.start();
    const auto result = result_of({.url = url_of(server)});
    BOOST_TEST((result.error == transfer_error::broken));
    BOOST_TEST(result.status == 200);
    BOOST_TEST(result.body == "part");
}

// Guards against continued work for disconnected clients. The callback is set
// once before and once after the client disconnects.
BOOST_AUTO_TEST_CASE(disconnects_are_reported)
{
    raw::counter requests;
    raw::counter disconnected;
    exchange_ptr kept;
    http_server server({},
                       [&](const http_request&, const exchange_ptr& exchange)
                       {
                           kept = exchange;
                           exchange->on_disconnect([&] { disconnected.add(); });
                           requests.add();
                       });
    server.start();
    {
        const auto peer = raw::socket::connected(server.port());
        peer.send("GET / HTTP/1.1\r\n\r\n");
        BOOST_TEST(requests.wait_for(1));
        BOOST_TEST(disconnected.value() == 0);
    }
    BOOST_TEST(disconnected.wait_for(1));
    kept->on_disconnect([&] { disconnected.add(); });
    BOOST_TEST(disconnected.wait_for(2));
    kept->respond({.body = "late"});
}

// Guards against handling a request whose body is truncated.
BOOST_AUTO_TEST_CASE(incomplete_requests_are_not_handled)
{
    std::vector<std::string> bodies;
    http_server server(
        {.workers = 1},
        [&](const http_request& request, const exchange_ptr& exchange)
        {
            bodies.push_back(request.body);
            exchange->respond({.body = "done"});
        });
    server.start();
    for (const char* text :
         {"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n1234",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n",
          "POST / HTTP/1.1\r\nContent-Le"})
    {
        const auto peer = raw::socket::connected(server.port());
        peer.send(text);
        ::shutdown(peer.fd(), SHUT_WR);
        BOOST_TEST(peer.peer_closed());
    }
    const auto result =
        result_of({.method = "POST", .url = url_of(server), .body = "whole"});
    BOOST_TEST(result.body == "done");
    BOOST_TEST(bodies == std::vector<std::string>{"whole"},
               boost::test_tools::per_element());
}

// Guards against Pistache's size limits on requests and responses.
BOOST_AUTO_TEST_CASE(large_bodies_pass_unchanged)
{
    http_server server(
        {},
        [](const http_request& request, const exchange_ptr& exchange)
        {
            if (request.path == "/echo")
                return exchange->respond({.body = request.body});
            exchange->start_stream({});
            exchange->write(request.body);
            exchange->finish_stream();
        });
    server.start();
    std::string body(5'000'000, '\0');
    std::mt19937 random(1);
    for (auto& it : body)
        it = static_cast<char>(random());
    for (const char* path : {"/echo", "/stream"})
    {
        const auto start = std::chrono::steady_clock::now();
        const auto result = result_of(
            {.method = "POST", .url = url_of(server, path), .body = body});
        const std::chrono::duration<double, std::milli> taken =
            std::chrono::steady_clock::now() - start;
        BOOST_TEST_MESSAGE(path << ": 5 MB in " << taken.count() << " ms");
        BOOST_TEST((result.error == transfer_error::none), path);
        BOOST_TEST((result.body == body), path);
    }
}

// Guards against lost parts of a request, and against an exception in the
// handler that leaves the request without a response.
BOOST_AUTO_TEST_CASE(passes_requests_and_failures)
{
    http_server server(
        {},
        [](const http_request& request, const exchange_ptr& exchange)
        {
            if (request.path == "/throws")
                throw std::runtime_error("failed");
            exchange->respond({.status = 429,
                               .body = request.method + request.path +
                                       request.header("x-key") +
                                       request.header("none") +
                                       request.query_value("q"),
                               .headers = {{"Retry-After", "2"}}});
        });
    server.start();
    auto result = result_of({.method = "PUT",
                             .url = url_of(server, "/p/x?n=1&q=%2F+y"),
                             .headers = {{"X-Key", "V"}}});
    BOOST_TEST(result.status == 429);
    BOOST_TEST(result.body == "PUT/p/xV/ y");
    BOOST_TEST(result.headers["retry-after"] == "2");
    BOOST_TEST(result.headers["content-type"] == "application/json");
    for (int n = 0; n < 2; ++n)
    {
        result = result_of({.url = url_of(server, "/throws")});
        BOOST_TEST(result.status == 500);
        BOOST_TEST(result.body.find("may_have_run") != std::string::npos);
    }
}

// Guards against a crash when a response is sent after the server has stopped.
BOOST_AUTO_TEST_CASE(responses_after_stop_are_dropped)
{
    raw::counter requests;
    exchange_ptr kept;
    http_server server({},
                       [&](const http_request&, const exchange_ptr& exchange)
                       {
                           kept = exchange;
                           requests.add();
                       });
    server.start();
    const auto peer = raw::socket::connected(server.port());
    peer.send("GET / HTTP/1.1\r\n\r\n");
    BOOST_TEST(requests.wait_for(1));
    server.stop();
    kept->respond({.body = "late"});
    kept->on_disconnect([] {});
    BOOST_TEST(peer.peer_closed());
}
