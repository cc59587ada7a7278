#include "platform/gateway_fixture.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/filesystem.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <limits>
#include <sstream>

namespace galenapulley::testing
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr msec poll_pause = 20;

asio::ip::tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::string get(const std::string& target)
{
    return "GET " + target +
           " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
}

wire_response ask(const std::string& address, const std::string& request)
{
    wire_client client(address);
    client.send(request);
    return client.receive();
}

} // namespace

std::string wire_response::header(const std::string& name) const
{
    const auto at = head.find(name + ": ");
    if (at == std::string::npos)
        return "(none)";
    const auto begin = at + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

wire_client::wire_client(const std::string& address) : socket_(io_)
{
    boost::system::error_code ec;
    socket_.connect(endpoint_of(address), ec);
    connected_ = !ec;
}

bool wire_client::send(const std::string& bytes)
{
    boost::system::error_code ec;
    asio::write(socket_, asio::buffer(bytes), ec);
    return !ec;
}

wire_response wire_client::receive()
{
    boost::beast::flat_buffer buf;
    asio::buffer_copy(buf.prepare(in_.size()), asio::buffer(in_));
    buf.commit(in_.size());
    in_.clear();
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    boost::system::error_code ec;
    http::read(socket_, buf, parser, ec);
    wire_response out;
    if (!parser.is_header_done())
        return out;
    for (const auto& it : parser.get())
    {
        out.head.append(it.name_string().data(), it.name_string().size());
        out.head += ": ";
        out.head.append(it.value().data(), it.value().size());
        out.head += "\r\n";
    }
    out.status = static_cast<int>(parser.get().result_int());
    out.body = parser.get().body();
    out.complete = !ec && parser.is_done();
    return out;
}

bool wire_client::receive_some(std::size_t bytes)
{
    while (in_.size() < bytes)
    {
        boost::system::error_code ec;
        char buf[512];
        const auto n = socket_.read_some(asio::buffer(buf), ec);
        in_.append(buf, n);
        if (ec)
            return false;
    }
    return true;
}

void wire_client::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

gateway_process::gateway_process(const std::string& name,
                                 const std::string& zone,
                                 const std::string& store_address,
                                 const std::vector<std::string>& seeds,
                                 const std::string& more_settings)
{
    const auto directory = boost::filesystem::temp_directory_path() /
                           boost::filesystem::unique_path("gateway-%%%%%%%%");
    boost::filesystem::create_directories(directory);
    const auto file = (directory / "settings.json").string();
    log_file_ = (directory / "log.txt").string();
    nlohmann::json settings{
        {"node", name},        {"failure_domain", zone},  {"traffic", traffic_},
        {"ready", ready_},     {"directory", directory_}, {"peer", peer_},
        {"metrics", metrics_}, {"store", store_address},  {"seeds", seeds},
        {"stop_grace_s", 4}};
    settings.update(nlohmann::json::parse(more_settings));
    std::ofstream(file) << settings;
    process_ = std::make_unique<child_process>(
        std::getenv("GALENAPULLEY_BINARY"),
        std::vector<std::string>{"gateway", "--config", file}, log_file_,
        ready_);
    process_->start();
}

int gateway_process::ready_status() const
{
    return ask(ready_, get("/galenapulley/ready")).status;
}

bool gateway_process::wait_until_ready(msec limit)
{
    const boot_time_clock time;
    for (const auto end = time.now() + limit; time.now() < end;)
    {
        if (ready_status() == 200)
            return true;
        pause_for(poll_pause);
    }
    return false;
}

wire_response gateway_process::directory() const
{
    return ask(directory_, get("/galenapulley/resolve?Name=h&Region=r&Zone=z"));
}

wire_response gateway_process::call(const std::string& request) const
{
    return ask(traffic_, request);
}

std::string gateway_process::metrics() const
{
    return ask(metrics_, get("/metrics")).body;
}

std::string gateway_process::log() const
{
    std::ifstream file(log_file_);
    std::ostringstream buf;
    buf << file.rdbuf();
    return buf.str();
}

std::string sample_configuration(std::uint64_t version,
                                 const std::string& extra_route,
                                 std::uint64_t engine_tokens)
{
    const auto route = [](const std::string& name, const std::string& prefix,
                          const std::string& kind, int attempts)
    {
        return nlohmann::json{{"Name", name},
                              {"Host", "h.example"},
                              {"Prefix", prefix},
                              {"Kind", kind},
                              {"TimeoutMs", 3000},
                              {"TargetLatencyMs", 300},
                              {"Priority", 1},
                              {"Service", "svc"},
                              {"MaxAttempts", attempts},
                              {"Resumable", kind == "streaming"},
                              {"GapAimMs", 250}};
    };
    nlohmann::json out{
        {"Version", version},
        {"Routes",
         {route("stream", "/s/", "streaming", 2),
          route("idempotent", "/i/", "idempotent", 2),
          route("unsafe", "/n/", "non_idempotent", 1)}},
        {"Services",
         {{{"Name", "svc"}, {"HealthCheck", "/health"}, {"ColdPerS", 0.0}}}},
        {"Limits",
         {{"MaxHeaderBytes", 4096},
          {"MaxBodyBytes", 100'000},
          {"HeaderTimeoutMs", 1000},
          {"IdleTimeoutMs", 5000}}},
        {"Tenants", {{{"Name", "club"}, {"ApiKeys", {"key-1"}}}}}};
    if (engine_tokens > 0)
        out["Services"][0]["Engine"] = {{"Slots", 4},
                                        {"KvCapacityTokens", engine_tokens},
                                        {"Stride", 34},
                                        {"step_ms", 1.3},
                                        {"per_seq_ms", 0.001},
                                        {"context_per_k", 0.002},
                                        {"read_per_s", 154'000.0},
                                        {"pairs_per_m", 0.16},
                                        {"chunk", 2048}};
    if (!extra_route.empty())
        out["Routes"].push_back(route("extra", extra_route, "idempotent", 2));
    return out.dump();
}

std::string sample_request(const std::string& method, const std::string& target,
                           const std::string& attempt, const std::string& body,
                           const std::string& more_headers, msec deadline)
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: h.example\r\n" +
           "Galenapulley-Attempt-Id: " + attempt +
           "\r\nGalenapulley-Deadline-Ms: " + std::to_string(deadline) +
           "\r\nX-Api-Key: key-1\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace galenapulley::testing
