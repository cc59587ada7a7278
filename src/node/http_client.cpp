#include "node/http_client.hpp"

#include "node/http_transfer.hpp"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenapulley
{

namespace
{

constexpr int poll_limit_ms = 1000;
/// Size of the pool of idle connections for calls that allow reuse.
constexpr long max_idle_connections = 64;

void initialise_curl()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

} // namespace

class http_client::implementation
{
public:
    implementation()
    {
        initialise_curl();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
        thread_ = std::thread([this] { serve(); });
    }

    ~implementation()
    {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        thread_.join();
        curl_multi_cleanup(multi_);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    std::uint64_t start(http_call call, done_callback done,
                        data_callback on_data)
    {
        const auto id = ++last_id_;
        // The easy handle is set up here, off the client's thread.
        auto transfer = std::make_unique<http_transfer>(
            id, std::move(call), std::move(done), std::move(on_data));
        add_command({id, std::move(transfer)});
        return id;
    }

    void cancel(std::uint64_t id) { add_command({id, nullptr}); }

private:
    /// Starts `transfer`, or cancels the call `id` if `transfer` is null.
    struct command
    {
        std::uint64_t id = 0;
        std::unique_ptr<http_transfer> transfer;
    };

    void add_command(command next)
    {
        {
            const std::lock_guard lock(mutex_);
            commands_.push_back(std::move(next));
        }
        curl_multi_wakeup(multi_);
    }

    void serve()
    {
        while (!stopping_)
        {
            run_commands();
            int running = 0;
            curl_multi_perform(multi_, &running);
            if (!finish_completed())
                curl_multi_poll(multi_, nullptr, 0, poll_limit_ms, nullptr);
        }
        cancel_all();
    }

    bool run_commands()
    {
        std::vector<command> commands;
        {
            const std::lock_guard lock(mutex_);
            commands.swap(commands_);
        }
        for (auto& it : commands)
        {
            if (!it.transfer)
                end_call(it.id, transfer_error::cancelled);
            else
            {
                curl_multi_add_handle(multi_, it.transfer->handle());
                transfers_.emplace(it.id, std::move(it.transfer));
            }
        }
        return !commands.empty();
    }

    bool finish_completed()
    {
        bool any = false;
        int queued = 0;
        while (const CURLMsg* message = curl_multi_info_read(multi_, &queued))
        {
            if (message->msg != CURLMSG_DONE)
                continue;
            http_transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                              &transfer);
            end_call(transfer->id(), transfer->outcome(message->data.result));
            any = true;
        }
        return any;
    }

    /// libcurl closes the connection of a call that has not ended.
    void end_call(std::uint64_t id, transfer_error error)
    {
        const auto it = transfers_.find(id);
        if (it == transfers_.end())
            return;
        const auto transfer = std::move(it->second);
        transfers_.erase(it);
        curl_multi_remove_handle(multi_, transfer->handle());
        transfer->finish(error);
    }

    void cancel_all()
    {
        // Callbacks may start further calls, which end here as well.
        do
        {
            while (!transfers_.empty())
                end_call(transfers_.begin()->first, transfer_error::cancelled);
        } while (run_commands());
    }

    CURLM* multi_ = nullptr;
    std::atomic<std::uint64_t> last_id_{0};
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<command> commands_;
    /// Used on the client's thread only.
    std::unordered_map<std::uint64_t, std::unique_ptr<http_transfer>>
        transfers_;
    std::thread thread_;
};

http_client::http_client() : implementation_(std::make_unique<implementation>())
{
}

http_client::~http_client() = default;

std::uint64_t http_client::start(http_call call, done_callback done,
                                 data_callback on_data)
{
    return implementation_->start(std::move(call), std::move(done),
                                  std::move(on_data));
}

void http_client::cancel(std::uint64_t id)
{
    implementation_->cancel(id);
}

} // namespace galenapulley
