#pragma once

#include "galenapulley/clock.hpp"
#include "standins/delayed_tasks.hpp"
#include "standins/standin_api.hpp"

#include <map>
#include <mutex>
#include <string>

namespace galenapulley::standins
{

struct plain_options
{
    /// Delay between executing a call and responding.
    msec delay_ms = 0;
    /// File to which each run is appended and from which the counts are
    /// restored at start, so that they survive a crash. Empty: none.
    std::string journal;
};

/// Plain service that counts the executed calls. A call is executed on arrival
/// and stays counted if its response is lost, withheld or prevented by a crash;
/// GET requests are counted as look-ups.
class plain_api final : public standin_api
{
public:
    explicit plain_api(plain_options options);

    void handle(http_request request, const exchange_ptr& exchange) override;

private:
    void control(const json& body);
    json stats();
    int record_run(const std::string& path, const std::string& key);

    plain_options options_;
    std::mutex mutex_;
    /// Runs by path, then by idempotency key.
    std::map<std::string, std::map<std::string, int>> runs_;
    int total_runs_ = 0;
    int lookups_ = 0;
    int responses_to_lose_ = 0;
    int lost_responses_ = 0;
    bool hang_ = false;
    bool crash_after_run_ = false;
    /// Status of responses to actions.
    int status_ = 200;
    msec last_start_ms_ = 0;
    delayed_tasks tasks_;
};

} // namespace galenapulley::standins
