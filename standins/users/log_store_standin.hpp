#pragma once

#include "node/event_loop.hpp"
#include "node/http_server.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// The log of the users' platform, in memory: appends, reads that wait, and
/// the newest record of each key. Faults are set by the test.
class log_store_standin
{
public:
    enum class fault
    {
        none,
        busy,         ///< 503, nothing is done
        unresponsive, ///< neither done nor answered
        lost_replies, ///< appends are done and not answered
    };

    explicit log_store_standin(event_loop& loop);

    /// Listens on loopback; the port is then known. Returns false on failure.
    bool listen();
    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }
    void set_fault(fault value) { this->active_fault = value; }
    /// Publishes a configuration, as the operator would.
    void publish(const std::string& config_json);
    /// Writes or, without a value, removes the entry of a backend server.
    void write_server(const std::string& id, const std::string& entry);
    /// Drops the history of all topics; the newest record of a key stays.
    void compact();
    [[nodiscard]] std::uint64_t calls() const { return this->call_count; }

private:
    struct topic
    {
        std::uint64_t first = 0;
        std::vector<std::string> records;
        std::map<std::string, std::string> newest; ///< keyed topics

        [[nodiscard]] std::uint64_t end() const
        {
            return this->first + this->records.size();
        }
    };
    struct waiting_read
    {
        std::string name;
        std::uint64_t from = 0;
        std::shared_ptr<http_responder> responder;
        instant until{0};
    };

    void serve(const http_request& request,
               const std::shared_ptr<http_responder>& responder);
    void append(const std::string& name, const std::string& body,
                const std::shared_ptr<http_responder>& responder);
    void read(const std::string& name, std::uint64_t from, milliseconds wait,
              const std::shared_ptr<http_responder>& responder);
    void answer_read(const std::string& name, std::uint64_t from,
                     const std::shared_ptr<http_responder>& responder);
    void answer_newest(const std::string& name,
                       const std::shared_ptr<http_responder>& responder);
    void append_record(const std::string& name, const std::string& record);
    void put_keyed(const std::string& name, const std::string& key,
                   const std::string& value);
    void answer_ready_reads();
    void expire_reads();

    event_loop& loop;
    http_server server;
    std::map<std::string, topic> topics;
    std::vector<waiting_read> reads;
    fault active_fault = fault::none;
    std::uint64_t call_count = 0;
};

} // namespace jujubedrum
