#include "kit.hpp"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <numeric>

// A prompt crashes each server that runs it, after the first events of its
// stream. It comes again, and the gateway passes it on without end.

namespace
{

using namespace review;

constexpr int servers = 8;
/// Events that the crashing prompt gets before its server ends.
constexpr int events_before_crash = 2;
constexpr int sound_events = 20;
constexpr int event_pause_ms = 50;
constexpr int down_ms = 2000;
constexpr int play_ms = 40'000;
constexpr int crashing_pause_ms = 1500;
constexpr int sound_clients = 4;
constexpr int sound_pause_ms = 300;
/// Time that a server works on a request that must not be repeated.
constexpr int gate_ms = 200;
constexpr int gate_clients = 3;
constexpr int deadline_ms = 10'000;
constexpr int contact_ms = 3000;
/// The rule allows so many retries that reach servers, later than contact_ms
/// after the third crash.
constexpr int allowed_retries = 3;
constexpr int tolerated_crashes = 3;
const std::string crashing_body = "the prompt that crashes";

/// What the servers have seen of the crashing prompt.
struct history
{
    std::mutex mutex;
    int crashes = 0;
    std::int64_t third_crash_at = 0;
    /// Attempts of the client that reached servers later than that.
    std::set<std::string> late_attempts;
};

/// A model server that ends when it has begun to run the crashing prompt, and
/// is back as a new incarnation some seconds later.
class model_server
{
public:
    model_server(store& to, record& log, history& seen, int number)
        : store_(to), log_(log), seen_(seen), number_(number)
    {
        start();
    }

    ~model_server()
    {
        stopping_ = true;
        for (auto& it : restarts_)
            it.join();
    }

private:
    std::string id() const
    {
        return "i-" + std::to_string(number_) + "-" +
               std::to_string(incarnation_);
    }

    void start()
    {
        server_ = std::make_unique<http_server>(
            [this, me = id()](int socket, const request& it)
            { return serve(socket, it, me); });
        is_down_ = false;
        store_.put("servers", id(),
                   json{{"Service", "svc"},
                        {"Address", server_->address()},
                        {"Zone", "z1"},
                        {"Version", "v1"},
                        {"Slots", 16},
                        {"State", "ready"},
                        {"ColdRemainingMs", 0},
                        {"Sequence", 1},
                        {"born", 1 + incarnation_}}
                       .dump());
    }

    bool serve(int socket, const request& call, const std::string& me)
    {
        const auto expected = call.header("galenapulley-expect-instance");
        const auto attempt = call.header("galenapulley-attempt-id");
        if (!expected.empty() && expected != me)
            return write_all(socket, response(421, "", ""));
        const bool crashes = has_trouble() && call.body == crashing_body;
        log_.line("server " + me + " runs " + call.target + " attempt " +
                  attempt + (crashes ? ", the crashing prompt" : ""));
        if (crashes)
            note_arrival(attempt);
        if (call.target == "/g/log")
        {
            sleep_ms(gate_ms);
            return write_all(socket,
                             response(200,
                                      "Galenapulley-Attempt-Id: " + attempt +
                                          "\r\nGalenapulley-Server-Seal: s-" +
                                          me + "\r\n",
                                      "done"));
        }
        const auto after = call.header("last-event-id");
        const int first = after.empty() ? 1 : std::stoi(after) + 1;
        const auto head =
            "HTTP/1.1 200 X\r\nGalenapulley-Attempt-Id: " + attempt +
            "\r\nGalenapulley-Server-Seal: s-" + me +
            "\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n";
        if (!write_all(socket, head))
            return false;
        for (int id = first; id <= sound_events; ++id)
        {
            if (crashes && id == first + events_before_crash)
            {
                crash(me);
                return false;
            }
            const auto event = "id: " + std::to_string(id) + "\ndata: text\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!write_all(socket, size + event + "\r\n"))
                return false;
            sleep_ms(event_pause_ms);
        }
        return write_all(socket, "0\r\n\r\n");
    }

    void note_arrival(const std::string& attempt)
    {
        const std::lock_guard lock(seen_.mutex);
        if (seen_.crashes >= tolerated_crashes &&
            now_ms() > seen_.third_crash_at + contact_ms)
            seen_.late_attempts.insert(attempt);
    }

    void crash(const std::string& me)
    {
        if (is_down_.exchange(true))
            return;
        {
            const std::lock_guard lock(seen_.mutex);
            if (++seen_.crashes == tolerated_crashes)
                seen_.third_crash_at = now_ms();
            log_.line("server " + me + " crashes, crash " +
                      std::to_string(seen_.crashes));
        }
        restarts_.emplace_back([this] { restart(); });
    }

    /// Ends the listener and all connections, and starts again.
    void restart()
    {
        server_.reset();
        for (int n = 0; n < down_ms / 50 && !stopping_; ++n)
            sleep_ms(50);
        if (stopping_)
            return;
        store_.remove("servers", id());
        ++incarnation_;
        start();
    }

    store& store_;
    record& log_;
    history& seen_;
    int number_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> is_down_{false};
    int incarnation_ = 0;
    std::unique_ptr<http_server> server_;
    std::vector<std::thread> restarts_;
};

/// Reads a stream; returns "whole", "cut" or the status of a refusal.
std::string read_stream(int socket)
{
    const timeval limit{.tv_sec = deadline_ms / 1000, .tv_usec = 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string all;
    char part[4096];
    for (;;)
    {
        const auto n = ::recv(socket, part, sizeof part, 0);
        if (n <= 0)
            return "cut";
        all.append(part, static_cast<std::size_t>(n));
        if (all.size() > 12 && all.find("\r\n\r\n") != std::string::npos &&
            all.substr(9, 3) != "200")
            return all.substr(9, 3);
        if (all.ends_with("\r\n0\r\n\r\n"))
            return "whole";
    }
}

void send_prompts(record& log, const gateway& to, const std::string& name,
                  const std::string& body, int pause_ms, std::int64_t end)
{
    for (int n = 0; now_ms() < end; ++n, sleep_ms(pause_ms))
    {
        const auto attempt = name + "-" + std::to_string(n);
        const auto text = client_request(
            "POST", "/s/tally", attempt,
            body.empty() ? "prompt " + attempt : body, deadline_ms,
            "Galenapulley-Model: m\r\nGalenapulley-Token-Usage: 5000,680\r\n"
            "Galenapulley-Prompt-Prefix: a1:40," +
                std::to_string(1000 + n) + ":4960\r\n");
        log.line("client sends POST /s/tally attempt " + attempt);
        const int socket = connect_to(to.traffic());
        const auto got = socket >= 0 && write_all(socket, text)
                             ? read_stream(socket)
                             : std::string("no connection");
        if (socket >= 0)
            ::close(socket);
        log.line("client got " + got + " for " + attempt);
    }
}

/// Returns how many of the requests ended without the server's answer.
int send_gate_logs(record& log, const gateway& to, std::int64_t end, int client)
{
    int lost = 0;
    for (int n = 0; now_ms() < end; ++n)
    {
        const auto attempt =
            "gate-" + std::to_string(client) + "-" + std::to_string(n);
        log.line("client sends POST /g/log attempt " + attempt);
        const int status = call(to.traffic(),
                                client_request("POST", "/g/log", attempt,
                                               "note " + attempt, deadline_ms),
                                deadline_ms);
        log.line("client got " + std::to_string(status) + " for " + attempt);
        lost += status == 200 ? 0 : 1;
    }
    return lost;
}

int play(record& log)
{
    temporary_folder folder;
    store rows;
    auto document = json::parse(configuration(deadline_ms));
    document["Services"][0]["Engine"] = {{"Slots", 16},
                                         {"KvCapacityTokens", 405000},
                                         {"Stride", 34},
                                         {"step_ms", 1.31},
                                         {"per_seq_ms", 0.000917},
                                         {"context_per_k", 0.00213},
                                         {"read_per_s", 154000},
                                         {"pairs_per_m", 0.162},
                                         {"chunk", 2048},
                                         {"HopMs", 0.1}};
    rows.put("op", "config", document.dump());
    history seen;
    std::vector<std::unique_ptr<model_server>> all;
    for (int n = 0; n < servers; ++n)
        all.push_back(std::make_unique<model_server>(rows, log, seen, n));
    gateway front("front-1", "z1", rows.address(), folder.path(), 182);
    front.start();
    if (!front.wait_until_ready(15'000))
        return not_run;
    const auto end = now_ms() + play_ms;
    std::vector<std::thread> threads;
    threads.emplace_back(
        [&] {
            send_prompts(log, front, "bad", crashing_body, crashing_pause_ms,
                         end);
        });
    for (int n = 0; n < sound_clients; ++n)
        threads.emplace_back(
            [&, n]
            {
                send_prompts(log, front, "c" + std::to_string(n), "",
                             sound_pause_ms, end);
            });
    std::array<int, gate_clients> lost{};
    for (int n = 0; n < gate_clients; ++n)
        threads.emplace_back(
            [&, n] {
                lost[static_cast<std::size_t>(n)] =
                    send_gate_logs(log, front, end, n);
            });
    for (auto& it : threads)
        it.join();
    log.line(std::to_string(std::accumulate(lost.begin(), lost.end(), 0)) +
             " requests that must not be repeated were lost at servers that "
             "crashed");
    const std::lock_guard lock(seen.mutex);
    log.line(std::to_string(seen.crashes) +
             " crashes; the prompt reached "
             "servers in " +
             std::to_string(seen.late_attempts.size()) +
             " retries later than 3 s after the third crash");
    return static_cast<int>(seen.late_attempts.size()) > allowed_retries
               ? rule_broken
               : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &play);
}
