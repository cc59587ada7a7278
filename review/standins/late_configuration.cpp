#include "kit.hpp"

#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <csignal>
#include <memory>

// Many users come at once, and prompts wait in the gateway. It spends its
// processor share on placing them again and again, so that a new configuration
// comes into force seconds too late.

namespace
{

using namespace review;

constexpr int engines = 14;
constexpr int slots = 16;
constexpr int first_event_ms = 400;
constexpr int events = 38;
constexpr int event_pause_ms = 100;
constexpr int deadline_ms = 10'000;
/// CpuShare of a machine, as a quota in each tenth of a second.
constexpr std::int64_t quota_ns = 17'000'000;
constexpr int period_ms = 100;
constexpr int burst_ms = 9500;
/// The new configuration comes so long after the burst has begun.
constexpr int change_ms = 8000;
constexpr int probe_pause_ms = 100;
constexpr int apply_ms = 2000;
constexpr int play_ms = 18'000;

/// A kind of request with its usual rate and the burst that the site plays.
struct kind
{
    const char* name;
    int tokens;
    double per_second;
    double burst;
};
constexpr kind kinds[] = {{"tally", 4960, 28, 2.5},
                          {"review", 45'000, 1.57, 1.5},
                          {"dossier", 182'000, 0.727, 2.9}};

/// Lets a process use its share of a core: it runs at full speed until the
/// quota is used up, and then not at all for the rest of the period.
class processor_quota
{
public:
    explicit processor_quota(pid_t pid) : pid_(pid)
    {
        if (::clock_getcpuclockid(pid, &clock_) != 0)
            throw std::runtime_error("no processor clock");
        thread_ = std::thread([this] { run(); });
    }

    ~processor_quota()
    {
        stopping_ = true;
        thread_.join();
        ::kill(pid_, SIGCONT);
    }

private:
    std::int64_t used() const
    {
        timespec at{};
        ::clock_gettime(clock_, &at);
        return std::int64_t{at.tv_sec} * 1'000'000'000 + at.tv_nsec;
    }

    void run()
    {
        while (!stopping_)
        {
            const auto end = now_ms() + period_ms;
            const auto begin = used();
            while (now_ms() < end && used() - begin < quota_ns)
                sleep_ms(1);
            if (now_ms() >= end)
                continue;
            ::kill(pid_, SIGSTOP);
            sleep_ms(end - now_ms());
            ::kill(pid_, SIGCONT);
        }
    }

    pid_t pid_;
    clockid_t clock_{};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

bool stream(int socket, const request& call)
{
    const auto head = "HTTP/1.1 200 X\r\nGalenapulley-Attempt-Id: " +
                      call.header("galenapulley-attempt-id") +
                      "\r\nGalenapulley-Server-Seal: s\r\n";
    if (call.target.starts_with("/galenapulley/order"))
        return write_all(socket, response(200, "", "{\"Free\":1000}"));
    if (call.target.starts_with("/new/"))
        return write_all(socket, head + "Content-Length: 0\r\n\r\n");
    sleep_ms(first_event_ms);
    if (!write_all(socket, head + "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"))
        return false;
    const int first = call.header("last-event-id").empty()
                          ? 1
                          : std::stoi(call.header("last-event-id")) + 1;
    for (int id = first; id <= events; ++id)
    {
        const auto event = "id: " + std::to_string(id) + "\ndata: text\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!write_all(socket, size + event + "\r\n"))
            return false;
        sleep_ms(event_pause_ms);
    }
    return write_all(socket, "0\r\n\r\n");
}

/// Sends one prompt and reads its stream to the end.
void send_prompt(record& log, const gateway& to, const kind& of, int number)
{
    const auto attempt = std::string(of.name) + "-" + std::to_string(number);
    const auto text = client_request(
        "POST", "/s/x", attempt, "prompt " + attempt, deadline_ms,
        "Galenapulley-Model: m\r\nGalenapulley-Token-Usage: " +
            std::to_string(of.tokens) +
            ",1300\r\nGalenapulley-Prompt-Prefix: a1:40," +
            std::to_string(1000 + number) + ":" + std::to_string(of.tokens) +
            "\r\n");
    const int socket = connect_to(to.traffic());
    std::string first;
    if (socket >= 0 && write_all(socket, text))
    {
        const timeval limit{.tv_sec = 12, .tv_usec = 0};
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        char part[4096];
        for (;;)
        {
            const auto n = ::recv(socket, part, sizeof part, 0);
            if (n <= 0)
                break;
            const std::string bytes(part, static_cast<std::size_t>(n));
            if (first.empty())
                first = bytes.substr(0, 12);
            if (bytes.ends_with("0\r\n\r\n") || !first.ends_with("200"))
                break;
        }
    }
    if (socket >= 0)
        ::close(socket);
    log.line("client sent " + attempt + " and got " +
             (first.size() < 12 ? std::string("none") : first.substr(9)));
}

void send_kind(record& log, const gateway& to, const kind& of,
               std::int64_t burst_end, std::int64_t end)
{
    std::vector<std::thread> prompts;
    for (int n = 0; now_ms() < end; ++n)
    {
        prompts.emplace_back([&log, &to, &of, n]
                             { send_prompt(log, to, of, n); });
        const bool bursts = has_trouble() && now_ms() < burst_end;
        sleep_ms(static_cast<std::int64_t>(
            1000 / (of.per_second * (bursts ? of.burst : 1))));
    }
    for (auto& it : prompts)
        it.join();
}

int play(record& log)
{
    temporary_folder folder;
    store rows;
    auto document = json::parse(configuration(deadline_ms));
    document["Services"][0]["Engine"] = {
        {"Slots", slots},         {"KvCapacityTokens", 405000},
        {"Stride", 34},           {"step_ms", 1.31},
        {"per_seq_ms", 0.000917}, {"context_per_k", 0.00213},
        {"read_per_s", 154000},   {"pairs_per_m", 0.162},
        {"chunk", 2048},          {"HopMs", 0.1}};
    rows.put("op", "config", document.dump());
    std::vector<std::unique_ptr<http_server>> all;
    for (int n = 0; n < engines; ++n)
    {
        all.push_back(std::make_unique<http_server>(&stream));
        rows.put("servers", "i-" + std::to_string(n),
                 json{{"Service", "svc"},
                      {"Address", all.back()->address()},
                      {"Zone", "z1"},
                      {"Version", "v1"},
                      {"Slots", slots},
                      {"State", "ready"},
                      {"ColdRemainingMs", 0},
                      {"Sequence", 1},
                      {"born", 1}}
                     .dump());
    }
    gateway front("front-1", "z1", rows.address(), folder.path(), 182);
    front.start();
    if (!front.wait_until_ready(15'000))
        return not_run;
    const processor_quota quota(front.pid());
    const auto start = now_ms();
    std::vector<std::thread> threads;
    for (const auto& it : kinds)
        threads.emplace_back(
            [&log, &front, &it, start]
            { send_kind(log, front, it, start + burst_ms, start + play_ms); });
    sleep_ms(change_ms);
    auto added = document["Routes"][0];
    added["Name"] = "new";
    added["Prefix"] = "/new/";
    document["Routes"].push_back(added);
    document["Version"] = 2;
    rows.put("op", "config", document.dump());
    const auto acknowledged = now_ms();
    log.line("version 2 with the route /new/ is acknowledged");
    int late = 0;
    for (int n = 0; now_ms() < start + play_ms; ++n)
    {
        const auto sent = now_ms();
        const auto attempt = "new-" + std::to_string(n);
        const int status =
            call(front.traffic(),
                 client_request("GET", "/new/x", attempt, "", deadline_ms),
                 deadline_ms + 2000);
        log.line("client sent GET /new/x attempt " + attempt + " " +
                 std::to_string(sent - acknowledged) +
                 " ms after the acknowledgement and got " +
                 std::to_string(status));
        if (status == 404 && sent - acknowledged > apply_ms)
            ++late;
        sleep_ms(probe_pause_ms);
    }
    for (auto& it : threads)
        it.join();
    log.line(std::to_string(late) +
             " requests were refused with 404 later than " +
             std::to_string(apply_ms) + " ms");
    return late > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &play);
}
