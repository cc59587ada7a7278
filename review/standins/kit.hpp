#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins of the platform, of servers and of clients for the cases of the
/// review, and the launcher of gateway processes.
namespace review
{

using nlohmann::json;

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

/// Milliseconds of the steady clock since the start of the case.
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);
/// Whether the disruption is played (TROUBLE is not 0).
bool has_trouble();

/// The record of what was sent, answered and run.
class record
{
public:
    explicit record(const std::string& path) : file_(path) {}
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct request
{
    std::string method;
    std::string target;
    /// Names in lower case.
    std::multimap<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
};

/// HTTP server on a loopback address with one thread for each connection.
class http_server
{
public:
    /// Responds on the socket; returns false to close it.
    using handler = std::function<bool(int socket, const request&)>;

    explicit http_server(handler serve);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    const std::string& address() const { return address_; }

private:
    void accept_all();
    void serve(int socket);

    handler serve_;
    int listener_ = -1;
    std::string address_;
    std::mutex mutex_;
    std::set<int> sockets_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

bool write_all(int socket, const std::string& bytes);
std::string response(int status, const std::string& headers,
                     const std::string& body);

/// The platform's store: rows, pages of at most 500 rows or 1 MB, and the feed
/// of changes.
class store
{
public:
    store();
    ~store();

    const std::string& address() const { return server_->address(); }
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };
    using row_key = std::pair<std::string, std::string>;

    bool serve(int socket, const request& call);
    json row_json(const row_key& key, const row& from) const;
    json get_rows(const std::map<std::string, std::string>& query);
    json watch_rows(const std::map<std::string, std::string>& query);
    std::pair<int, json> change_rows(const json& call);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::uint64_t version_ = 100;
    bool stopping_ = false;
    std::unique_ptr<http_server> server_;
};

/// A server that registers itself in the store and runs what it gets.
class endpoint
{
public:
    endpoint(store& to, record& log, std::string id, int slots);

    /// Decides the status of each response to a request that it has run; with
    /// 0 the response is lost and the connection ends.
    using status_source = std::function<int(const request&)>;
    void set_status(status_source source);
    /// How often each attempt id was run.
    std::map<std::string, int> runs();
    const std::string& address() const { return server_->address(); }

private:
    bool serve(int socket, const request& call);

    record& log_;
    std::string id_;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    status_source status_;
    std::unique_ptr<http_server> server_;
};

/// A folder for settings and logs that is removed at the end.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// A gateway process with settings as the deploy file's template makes them.
class gateway
{
public:
    gateway(const std::string& name, const std::string& zone,
            const std::string& store_address, const std::string& folder,
            int memory_mb);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void set_seeds(const std::vector<std::string>& seeds);
    void start();
    void kill();
    /// Whether the process runs; collects it if it has ended.
    bool runs();
    pid_t pid() const { return pid_; }
    /// Waits until the readiness check succeeds.
    bool wait_until_ready(std::int64_t limit_ms);
    const std::string& name() const { return name_; }
    const std::string& traffic() const { return traffic_; }
    const std::string& peer() const { return peer_; }
    /// Resident memory in bytes; 0 if the process doesn't run.
    std::uint64_t memory() const;

private:
    std::string name_;
    std::string folder_;
    std::string traffic_;
    std::string ready_;
    std::string peer_;
    json settings_;
    pid_t pid_ = -1;
};

/// A client's connection; -1 if it isn't accepted.
int connect_to(const std::string& address);
/// Reads one response with Content-Length; 0 if the connection ends before
/// it is complete or `limit_ms` has passed.
int read_status(int socket, std::int64_t limit_ms, std::string* body = nullptr);
std::string client_request(const std::string& method, const std::string& target,
                           const std::string& attempt, const std::string& body,
                           int deadline_ms,
                           const std::string& more_headers = "");
/// Sends a request on a connection of its own and returns the status.
int call(const std::string& address, const std::string& text, int deadline_ms);

/// A configuration with the routes /l/ (idempotent), /g/ (non-idempotent) and
/// /s/ (a resumable stream) to one service, for the key "key-1".
std::string configuration(int timeout_ms);

/// Runs a case with a time limit; exceptions end it as "not run".
int run_case(int argc, char** argv, int (*play)(record&));

} // namespace review
