#include "node/http_transfer.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr long max_connection_age_seconds = 15;
constexpr long min_status = 200;
constexpr long max_status = 599;
constexpr long status_no_content = 204;
constexpr long status_not_modified = 304;

std::string trimmed(const std::string& text)
{
    const auto begin = text.find_first_not_of(" \t\r\n");
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t\r\n") - begin + 1);
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// libcurl takes 0 as "no timeout", but no time left must end the call.
long to_curl_timeout(msec limit)
{
    return static_cast<long>(std::max(limit, 1_ms));
}

/// TCP keep-alive: idle time before the first probe, interval between probes,
/// and number of unanswered probes after which the kernel closes the
/// connection. An unresponsive peer is detected after about three seconds.
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probe_count = 2;
/// The kernel closes a connection whose data is unacknowledged for this long.
constexpr int unacknowledged_limit_ms = 3000;

int enable_keepalive(void* /*client*/, curl_socket_t socket,
                     curlsocktype /*purpose*/)
{
    const int on = 1;
    // Errors are ignored: the connection works without these options, but a
    // lost peer is detected later.
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_interval_s,
                 sizeof keepalive_interval_s);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s,
                 sizeof keepalive_interval_s);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probe_count,
                 sizeof keepalive_probe_count);
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                 &unacknowledged_limit_ms, sizeof unacknowledged_limit_ms);
    return CURL_SOCKOPT_OK;
}

} // namespace

http_transfer::http_transfer(std::uint64_t id, http_call call,
                             http_client::done_callback done,
                             http_client::data_callback on_data)
    : id_(id)
    , call_(std::move(call))
    , done_(std::move(done))
    , on_data_(std::move(on_data))
    , handle_(curl_easy_init())
{
    set_method();
    set_headers();
    set_limits();
    set_callbacks();
}

void http_transfer::set_method()
{
    CURL* const handle = handle_.get();
    curl_easy_setopt(handle, CURLOPT_URL, call_.url.c_str());
    if (call_.method == "HEAD")
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    else if (call_.method != "GET" || !call_.body.empty())
    {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call_.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call_.body.c_str());
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
    }
    // libcurl silently resends a request if a pooled connection turns out to be
    // closed, although the peer may have received the first copy.
    const long fresh = call_.reuse_connection ? 0 : 1;
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, fresh);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, fresh);
}

void http_transfer::set_headers()
{
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    bool has_type = false;
    for (const auto& it : call_.headers)
    {
        // libcurl's syntax for a header without a value is a semicolon.
        const auto line =
            it.second.empty() ? it.first + ";" : it.first + ": " + it.second;
        list = curl_slist_append(list, line.c_str());
        has_type = has_type || to_lower(it.first) == "content-type";
    }
    if (!has_type)
        list = curl_slist_append(list, call_.body.empty()
                                           ? "Content-Type:"
                                           : "Content-Type: application/json");
    header_list_.reset(list);
    curl_easy_setopt(handle_.get(), CURLOPT_HTTPHEADER, list);
}

void http_transfer::set_limits()
{
    CURL* const handle = handle_.get();
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     to_curl_timeout(call_.connect_timeout));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     to_curl_timeout(call_.timeout));
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, max_connection_age_seconds);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &enable_keepalive);
    // Ignores proxy settings in the environment for calls between VMs.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
}

void http_transfer::set_callbacks()
{
    CURL* const handle = handle_.get();
    curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, error_text_.data());
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &http_transfer::on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &http_transfer::on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION,
                     &http_transfer::on_connected);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
}

bool http_transfer::ended_during_upload(long status) const
{
    const bool has_end = result_.headers.contains("content-length") ||
                         result_.headers.contains("transfer-encoding") ||
                         call_.method == "HEAD" ||
                         status == status_no_content ||
                         status == status_not_modified;
    if (has_end)
        return false;
    curl_off_t sent = 0;
    curl_easy_getinfo(handle_.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
    return sent < static_cast<curl_off_t>(call_.body.size());
}

transfer_error http_transfer::outcome(CURLcode code)
{
    if (code == CURLE_OK)
    {
        // libcurl also accepts a response that ends within its headers, and
        // any status of three digits.
        long status = 0;
        curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &status);
        if (!headers_complete_ || status < min_status)
            result_.error_text = "the response ended within its headers";
        else if (status > max_status)
            result_.error_text = "the response has no valid status";
        else if (ended_during_upload(status))
            result_.error_text = "the response ended during the upload";
        else
            return transfer_error::none;
        return transfer_error::broken;
    }
    // libcurl doesn't fill the buffer for every error.
    result_.error_text =
        error_text_[0] != 0 ? error_text_.data() : curl_easy_strerror(code);
    if (!connected_)
        return transfer_error::not_connected;
    return code == CURLE_OPERATION_TIMEDOUT ? transfer_error::timed_out
                                            : transfer_error::broken;
}

void http_transfer::finish(transfer_error error)
{
    long status = 0;
    curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &status);
    result_.error = error;
    result_.status = static_cast<int>(status);
    if (auto done = std::exchange(done_, nullptr))
        done(std::move(result_));
}

void http_transfer::parse_header_line(std::string line)
{
    if (line.rfind("HTTP/", 0) == 0)
    {
        // The headers of the final response replace those of an interim (1xx)
        // response.
        headers_complete_ = false;
        result_.headers.clear();
        return;
    }
    line = trimmed(line);
    if (line.empty())
    {
        headers_complete_ = true;
        return;
    }
    const auto colon = line.find(':');
    if (headers_complete_ || colon == std::string::npos)
        return;
    auto& value = result_.headers[to_lower(line.substr(0, colon))];
    if (!value.empty())
        value += ", ";
    value += trimmed(line.substr(colon + 1));
}

std::size_t http_transfer::on_body(char* data, std::size_t size,
                                   std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    const auto bytes = size * count;
    if (!transfer.on_data_)
    {
        // Any other return value than `bytes` aborts the transfer.
        auto& body = transfer.result_.body;
        if (body.size() + bytes > transfer.call_.max_response_bytes)
            return 0;
        body.append(data, bytes);
        return bytes;
    }
    long status = 0;
    curl_easy_getinfo(transfer.handle(), CURLINFO_RESPONSE_CODE, &status);
    transfer.on_data_(static_cast<int>(status), std::string(data, bytes));
    return bytes;
}

std::size_t http_transfer::on_header(char* data, std::size_t size,
                                     std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    const auto bytes = size * count;
    transfer.head_bytes_ += bytes;
    if (transfer.head_bytes_ > transfer.call_.max_response_bytes)
        return 0;
    transfer.parse_header_line(std::string(data, bytes));
    return bytes;
}

int http_transfer::on_connected(void* self, char* /*peer_ip*/,
                                char* /*local_ip*/, int /*peer_port*/,
                                int /*local_port*/)
{
    static_cast<http_transfer*>(self)->connected_ = true;
    return CURL_PREREQFUNC_OK;
}

} // namespace galenapulley
