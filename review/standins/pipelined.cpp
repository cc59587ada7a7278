#include "kit.hpp"

#include <array>
#include <sys/socket.h>
#include <unistd.h>

// A client sends two gate logs on its kept connection without waiting for the
// first answer, and a third one after both answers. The gateway runs the second
// one again in place of the third.

namespace
{

using namespace review;

constexpr int clients = 10;
constexpr int deadline_ms = 4000;
constexpr int answer_ms = 3000;
/// The client thinks before it sends the last request.
constexpr int think_ms = 200;

std::string gate_log(const std::string& attempt, int client, int number)
{
    return client_request("POST", "/g/log", attempt,
                          "client " + std::to_string(client) + " sets gate " +
                              std::to_string(number) + " to 30 %",
                          deadline_ms);
}

/// Reads an answer that is whole. What follows it stays in the socket.
void note_answer(record& log, int socket, const std::string& attempt)
{
    std::string head;
    char byte = 0;
    const timeval limit{.tv_sec = answer_ms / 1000, .tv_usec = 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    while (!head.ends_with("\r\n\r\n") && ::recv(socket, &byte, 1, 0) == 1)
        head += byte;
    const auto field = [&head](const std::string& name)
    {
        const auto at = head.find(name + ": ");
        return at == std::string::npos
                   ? std::string()
                   : head.substr(at + name.size() + 2,
                                 head.find("\r\n", at) - at - name.size() - 2);
    };
    const auto length = field("Content-Length");
    for (int n = length.empty() ? 0 : std::stoi(length); n > 0; --n)
        if (::recv(socket, &byte, 1, 0) != 1)
            break;
    log.line("client waits for the answer to " + attempt + " and gets " +
             (head.size() < 12 ? std::string("none") : head.substr(9, 3)) +
             " of attempt " + field("Galenapulley-Attempt-Id"));
}

bool send_logs(record& log, const gateway& to, int client)
{
    const int socket = connect_to(to.traffic());
    if (socket < 0)
        return false;
    std::array<std::string, 3> attempts;
    std::array<std::string, 3> texts;
    for (int n = 0; n < 3; ++n)
    {
        const auto index = static_cast<std::size_t>(n);
        attempts[index] =
            "c" + std::to_string(client) + "-" + std::to_string(n);
        texts[index] = gate_log(attempts[index], client, n);
    }
    const auto send = [&](const std::string& text, const std::string& what)
    {
        log.line("client sends POST /g/log attempt " + what);
        return write_all(socket, text);
    };
    if (has_trouble())
    {
        if (!send(texts[0] + texts[1], attempts[0] + " and " + attempts[1]))
            return false;
        note_answer(log, socket, attempts[0]);
        note_answer(log, socket, attempts[1]);
    }
    else
        for (std::size_t n = 0; n < 2; ++n)
        {
            if (!send(texts[n], attempts[n]))
                return false;
            note_answer(log, socket, attempts[n]);
        }
    sleep_ms(think_ms);
    if (!send(texts[2], attempts[2]))
        return false;
    note_answer(log, socket, attempts[2]);
    ::close(socket);
    return true;
}

int play(record& log)
{
    temporary_folder folder;
    store rows;
    rows.put("op", "config", configuration(4000));
    endpoint server(rows, log, "i-1", 6);
    gateway front("front-1", "z1", rows.address(), folder.path(), 182);
    front.start();
    if (!front.wait_until_ready(15'000))
        return not_run;
    for (int n = 0; n < clients; ++n)
        if (!send_logs(log, front, n))
            return not_run;
    int repeated = 0;
    const auto runs = server.runs();
    for (const auto& [attempt, n] : runs)
        if (n > 1)
        {
            log.line("attempt " + attempt + " ran " + std::to_string(n) +
                     " times");
            ++repeated;
        }
    log.line(std::to_string(repeated) + " requests ran more than once; " +
             std::to_string(3 * clients - static_cast<int>(runs.size())) +
             " never ran");
    return repeated > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &play);
}
