#include "kit.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review
{

namespace
{

const auto started = std::chrono::steady_clock::now();
constexpr int max_page_rows = 500;
constexpr std::size_t max_page_bytes = 1'000'000;
constexpr int time_limit_s = 115;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

constexpr const char* alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& in)
{
    std::string out;
    for (std::size_t n = 0; n < in.size(); n += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 |
                   (n + k < in.size() ? static_cast<unsigned char>(in[n + k])
                                      : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out +=
                n + k > in.size() ? '=' : alphabet[bits >> (18 - 6 * k) & 63];
    }
    return out;
}

std::string from_base64(const std::string& in)
{
    std::string out;
    const std::string symbols(alphabet);
    std::uint32_t bits = 0;
    int held = 0;
    for (const char c : in)
    {
        const auto value = symbols.find(c);
        if (value == std::string::npos)
            break;
        bits = bits << 6 | static_cast<std::uint32_t>(value);
        held += 6;
        if (held >= 8)
            out += static_cast<char>(bits >> (held -= 8) & 255);
    }
    return out;
}

std::string percent_decoded(const std::string& in)
{
    std::string out;
    for (std::size_t n = 0; n < in.size(); ++n)
        if (in[n] == '%' && n + 2 < in.size() + 0)
        {
            out +=
                static_cast<char>(std::stoi(in.substr(n + 1, 2), nullptr, 16));
            n += 2;
        }
        else
            out += in[n];
    return out;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return out;
    std::istringstream rest(target.substr(mark + 1));
    for (std::string pair; std::getline(rest, pair, '&');)
    {
        const auto equals = pair.find('=');
        if (equals != std::string::npos)
            out[pair.substr(0, equals)] =
                percent_decoded(pair.substr(equals + 1));
    }
    return out;
}

int listen_on_loopback(std::string& address)
{
    const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (out < 0 || ::bind(out, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
        ::listen(out, 512) != 0 ||
        ::getsockname(out, reinterpret_cast<sockaddr*>(&at), &size) != 0)
        throw std::runtime_error("no free port");
    address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    return out;
}

/// A port below those that the system gives to other sockets by itself.
std::string free_address()
{
    constexpr int first_port = 12'000;
    constexpr int ports = 18'000;
    static std::mt19937 random{std::random_device{}()};
    static std::set<int> given;
    for (int tries = 0; tries < ports; ++tries)
    {
        const int port = first_port + static_cast<int>(random() % ports);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool is_free =
            socket >= 0 &&
            ::bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        ::close(socket);
        if (is_free && given.insert(port).second)
            return "127.0.0.1:" + std::to_string(port);
    }
    throw std::runtime_error("no free port");
}

/// Reads a head; what follows it stays in `buf`.
bool read_head(int socket, std::string& buf, std::string& head)
{
    for (;;)
    {
        const auto end = buf.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            head = buf.substr(0, end + 2);
            buf.erase(0, end + 4);
            return true;
        }
        char part[16384];
        const auto n = ::recv(socket, part, sizeof part, 0);
        if (n <= 0)
            return false;
        buf.append(part, static_cast<std::size_t>(n));
    }
}

bool read_body(int socket, std::string& buf, std::size_t length,
               std::string& body)
{
    while (buf.size() < length)
    {
        char part[65536];
        const auto n = ::recv(socket, part, sizeof part, 0);
        if (n <= 0)
            return false;
        buf.append(part, static_cast<std::size_t>(n));
    }
    body = buf.substr(0, length);
    buf.erase(0, length);
    return true;
}

std::multimap<std::string, std::string> headers_of(const std::string& head)
{
    std::multimap<std::string, std::string> out;
    std::istringstream lines(head.substr(head.find("\r\n") + 2));
    for (std::string line; std::getline(lines, line);)
    {
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of("\r ") + 1);
        out.emplace(to_lower(line.substr(0, colon)), value);
    }
    return out;
}

std::size_t length_of(const std::multimap<std::string, std::string>& headers)
{
    const auto it = headers.find("content-length");
    return it == headers.end() ? 0 : std::stoull(it->second);
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - started)
        .count();
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool has_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    file_ << now_ms() << " ms  " << text << std::endl;
}

std::string request::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

http_server::http_server(handler serve) : serve_(std::move(serve))
{
    listener_ = listen_on_loopback(address_);
    accepting_ = std::thread([this] { accept_all(); });
}

http_server::~http_server()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (const int it : sockets_)
            ::shutdown(it, SHUT_RDWR);
    }
    ::shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    ::close(listener_);
    for (auto& it : threads_)
        it.join();
}

void http_server::accept_all()
{
    for (;;)
    {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(mutex_);
        if (stopping_ || (socket < 0 && errno != EINTR))
        {
            if (socket >= 0)
                ::close(socket);
            return;
        }
        if (socket < 0)
            continue;
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        sockets_.insert(socket);
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

void http_server::serve(int socket)
{
    std::string buf;
    for (bool keep = true; keep;)
    {
        request next;
        std::string head;
        if (!read_head(socket, buf, head))
            break;
        std::istringstream first(head);
        first >> next.method >> next.target;
        next.headers = headers_of(head);
        if (!read_body(socket, buf, length_of(next.headers), next.body))
            break;
        keep = serve_(socket, next) &&
               to_lower(next.header("connection")) != "close";
    }
    const std::lock_guard lock(mutex_);
    sockets_.erase(socket);
    ::close(socket);
}

bool write_all(int socket, const std::string& bytes)
{
    for (std::size_t done = 0; done < bytes.size();)
    {
        const auto n = ::send(socket, bytes.data() + done, bytes.size() - done,
                              MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

std::string response(int status, const std::string& headers,
                     const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

store::store()
    : server_(std::make_unique<http_server>(
          [this](int socket, const request& it) { return serve(socket, it); }))
{
}

store::~store()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    server_.reset();
}

void store::put(const std::string& table, const std::string& key,
                const std::string& value)
{
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {
        .value = value, .version = ++version_, .deleted = false};
    changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {.value = "", .version = ++version_, .deleted = true};
    changed_.notify_all();
}

json store::row_json(const row_key& key, const row& from) const
{
    json out{{"Table", key.first},
             {"part", ""},
             {"Key", key.second},
             {"Ver", from.version}};
    if (from.deleted)
        out["Deleted"] = true;
    else
        out["Value"] = to_base64(from.value);
    return out;
}

json store::get_rows(const std::map<std::string, std::string>& query)
{
    const std::lock_guard lock(mutex_);
    const auto get = [&query](const char* name)
    {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    };
    const auto limit = get("Limit");
    const auto most = limit.empty() ? max_page_rows
                                    : std::min(max_page_rows, std::stoi(limit));
    json rows = json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto it = rows_.lower_bound({get("Table"), get("From")});
         it != rows_.end() && it->first.first == get("Table"); ++it)
    {
        if (it->second.deleted)
            continue;
        auto entry = row_json(it->first, it->second);
        const auto size = entry.dump().size();
        more = static_cast<int>(rows.size()) == most ||
               (!rows.empty() && bytes + size > max_page_bytes);
        if (more)
            break;
        bytes += size;
        rows.push_back(std::move(entry));
    }
    return {{"Rows", rows},
            {"HasMore", more},
            {"Ver", version_},
            {"NowMs", now_ms()}};
}

json store::watch_rows(const std::map<std::string, std::string>& query)
{
    std::unique_lock lock(mutex_);
    const auto after = std::stoull(query.at("After"));
    const auto& table = query.at("Table");
    const auto changes = [&]
    {
        std::map<std::uint64_t, row_key> found;
        for (const auto& [key, it] : rows_)
            if (key.first == table && it.version > after)
                found.emplace(it.version, key);
        return found;
    };
    changed_.wait_for(lock,
                      std::chrono::milliseconds(std::stoi(query.at("WaitMs"))),
                      [&] { return stopping_ || !changes().empty(); });
    json rows = json::array();
    for (const auto& [version, key] : changes())
        rows.push_back(row_json(key, rows_.at(key)));
    return {{"Rows", rows}, {"Ver", version_}, {"NowMs", now_ms()}};
}

std::pair<int, json> store::change_rows(const json& call)
{
    const std::lock_guard lock(mutex_);
    const auto key_of = [](const json& it)
    {
        return row_key(it.at("Table"), it.at("Key"));
    };
    for (const auto& it : call.at("Precondition"))
    {
        const auto known = rows_.find(key_of(it));
        const auto version = known == rows_.end() || known->second.deleted
                                 ? 0
                                 : known->second.version;
        if (version != it.at("Ver").get<std::uint64_t>())
            return {412,
                    {{"Rows", json::array()},
                     {"Ver", version_},
                     {"NowMs", now_ms()}}};
    }
    ++version_;
    for (const auto& it : call.at("Upserts"))
        rows_[key_of(it)] = {.value =
                                 from_base64(it.at("Value").get<std::string>()),
                             .version = version_,
                             .deleted = false};
    changed_.notify_all();
    return {200, {{"Ver", version_}, {"NowMs", now_ms()}}};
}

bool store::serve(int socket, const request& call)
{
    const auto path = call.target.substr(0, call.target.find('?'));
    std::pair<int, json> out{404, json::object()};
    if (path == "/galenapulley/rows-get")
        out = {200, get_rows(query_of(call.target))};
    else if (path == "/galenapulley/rows-feed")
        out = {200, watch_rows(query_of(call.target))};
    else if (path == "/galenapulley/rows-tx")
        out = change_rows(json::parse(call.body));
    return write_all(socket, response(out.first,
                                      "Content-Type: application/json\r\n"
                                      "Store-Era: 0\r\n",
                                      out.second.dump()));
}

endpoint::endpoint(store& to, record& log, std::string id, int slots)
    : log_(log)
    , id_(std::move(id))
    , server_(std::make_unique<http_server>(
          [this](int socket, const request& it) { return serve(socket, it); }))
{
    to.put("servers", id_,
           json{{"Service", "svc"},
                {"Address", server_->address()},
                {"Zone", "z1"},
                {"Version", "v1"},
                {"Slots", slots},
                {"State", "ready"},
                {"ColdRemainingMs", 0},
                {"Sequence", 1},
                {"born", 1}}
               .dump());
}

void endpoint::set_status(status_source source)
{
    const std::lock_guard lock(mutex_);
    status_ = std::move(source);
}

std::map<std::string, int> endpoint::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

bool endpoint::serve(int socket, const request& call)
{
    const auto attempt = call.header("galenapulley-attempt-id");
    const auto expected = call.header("galenapulley-expect-instance");
    if (!expected.empty() && expected != id_)
        return write_all(socket, response(421, "", ""));
    int status = 200;
    {
        const std::lock_guard lock(mutex_);
        ++runs_[attempt];
        if (status_)
            status = status_(call);
    }
    log_.line("server " + id_ + " runs " + call.method + ' ' + call.target +
              " attempt " + attempt + ", body of " +
              std::to_string(call.body.size()) + " bytes, " +
              (status == 0 ? std::string("its answer is lost")
                           : "answers " + std::to_string(status)));
    if (status == 0)
        return false;
    return write_all(socket, response(status,
                                      "Galenapulley-Attempt-Id: " + attempt +
                                          "\r\nGalenapulley-Server-Seal: s-" +
                                          id_ + "\r\n",
                                      "done"));
}

temporary_folder::temporary_folder()
{
    auto name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    path_ = name;
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

gateway::gateway(const std::string& name, const std::string& zone,
                 const std::string& store_address, const std::string& folder,
                 int memory_mb)
    : name_(name)
    , folder_(folder)
    , traffic_(free_address())
    , ready_(free_address())
    , peer_(free_address())
    , settings_{{"node", name},           {"region", "r1"},
                {"failure_domain", zone}, {"traffic", traffic_},
                {"ready", ready_},        {"directory", free_address()},
                {"peer", peer_},          {"metrics", free_address()},
                {"store", store_address}, {"seeds", json::array()},
                {"stop_grace_s", 8},      {"retry_base", 234},
                {"retry_ratio", 0.2},     {"memory_return_ms", 4000},
                {"bootstrap", true},      {"processor_share", 0.17},
                {"processor_speed", 1},   {"memory_mb", memory_mb}}
{
}

gateway::~gateway()
{
    kill();
}

void gateway::set_seeds(const std::vector<std::string>& seeds)
{
    settings_["seeds"] = seeds;
}

void gateway::start()
{
    const auto file = folder_ + '/' + name_ + ".json";
    std::ofstream(file) << settings_;
    const auto variable = "GALENAPULLEY_SETTINGS=" + file;
    const auto log = folder_ + '/' + name_ + ".log";
    pid_ = ::fork();
    if (pid_ < 0)
        throw std::runtime_error("fork failed");
    if (pid_ > 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (std::freopen(log.c_str(), "a", stdout) == nullptr)
        ::_exit(127);
    const char* const arguments[] = {"target/galenapulley", "gateway", nullptr};
    const char* const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin",
                                       nullptr};
    ::execve(arguments[0], const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
    ::_exit(127);
}

void gateway::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

bool gateway::runs()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) != 0)
        pid_ = -1;
    return pid_ > 0;
}

bool gateway::wait_until_ready(std::int64_t limit_ms)
{
    for (const auto end = now_ms() + limit_ms; now_ms() < end; sleep_ms(50))
    {
        const int socket = connect_to(ready_);
        if (socket < 0)
            continue;
        write_all(socket, "GET /galenapulley/ready HTTP/1.1\r\nHost: x\r\n"
                          "Connection: close\r\n\r\n");
        const int status = read_status(socket, 1000);
        ::close(socket);
        if (status == 200)
            return true;
    }
    return false;
}

std::uint64_t gateway::memory() const
{
    if (pid_ <= 0)
        return 0;
    const auto process = "/proc/" + std::to_string(pid_);
    // Until it is executed, the new process has the memory of this one.
    std::ifstream command(process + "/cmdline");
    std::string program;
    if (!std::getline(command, program, '\0') ||
        program != "target/galenapulley")
        return 0;
    std::ifstream file(process + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

int connect_to(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (out < 0)
        return -1;
    const int on = 1;
    ::setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(out, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0)
        return out;
    ::close(out);
    return -1;
}

int read_status(int socket, std::int64_t limit_ms, std::string* body)
{
    const timeval limit{.tv_sec = limit_ms / 1000,
                        .tv_usec = limit_ms % 1000 * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string buf;
    std::string head;
    std::string content;
    if (!read_head(socket, buf, head) ||
        !read_body(socket, buf, length_of(headers_of(head)), content))
        return 0;
    if (body != nullptr)
        *body = content;
    return std::stoi(head.substr(9, 3));
}

std::string client_request(const std::string& method, const std::string& target,
                           const std::string& attempt, const std::string& body,
                           int deadline_ms, const std::string& more_headers)
{
    return method + ' ' + target +
           " HTTP/1.1\r\nHost: h.example\r\nGalenapulley-Attempt-Id: " +
           attempt +
           "\r\nGalenapulley-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nX-Api-Key: key-1\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int call(const std::string& address, const std::string& text, int deadline_ms)
{
    const int socket = connect_to(address);
    if (socket < 0)
        return 0;
    const int status =
        write_all(socket, text) ? read_status(socket, deadline_ms) : 0;
    ::close(socket);
    return status;
}

std::string configuration(int timeout_ms)
{
    const auto route = [timeout_ms](const char* name, const char* prefix,
                                    const char* kind, int attempts)
    {
        return json{{"Name", name},
                    {"Host", "h.example"},
                    {"Prefix", prefix},
                    {"Kind", kind},
                    {"TimeoutMs", timeout_ms},
                    {"TargetLatencyMs", 300},
                    {"Priority", 1},
                    {"Service", "svc"},
                    {"MaxAttempts", attempts},
                    {"Public", false},
                    {"Sticky", false},
                    {"Resumable", std::string(kind) == "streaming"},
                    {"GapAimMs", 250}};
    };
    return json{{"Version", 1},
                {"Routes",
                 {route("lookup", "/l/", "idempotent", 2),
                  route("gate", "/g/", "non_idempotent", 1),
                  route("stream", "/s/", "streaming", 2)}},
                {"Services",
                 {{{"Name", "svc"},
                   {"HealthCheck", "/health"},
                   {"MaxConnections", 248},
                   {"ColdStartS", 0.0},
                   {"ColdPerS", 0.0}}}},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 4194304},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}},
                {"Tenants", {{{"Name", "tenant-1"}, {"ApiKeys", {"key-1"}}}}}}
        .dump();
}

int run_case(int argc, char** argv, int (*play)(record&))
{
    if (argc != 2 || ::access("target/galenapulley", X_OK) != 0)
    {
        std::cerr << "needs the path of the record, and target/galenapulley\n";
        return not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // The gateways end with this process.
    std::thread(
        []
        {
            sleep_ms(1000 * time_limit_s);
            ::_exit(not_run);
        })
        .detach();
    try
    {
        record log(argv[1]);
        log.line(has_trouble() ? "with the disruption"
                               : "without the disruption");
        const int out = play(log);
        log.line(out == rule_held     ? "the rule held"
                 : out == rule_broken ? "the rule was broken"
                                      : "the case could not run");
        return out;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return not_run;
    }
}

} // namespace review
