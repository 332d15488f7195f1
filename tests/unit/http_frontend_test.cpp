#include "base/hash.hpp"
#include "config/config_edit.hpp"
#include "connection_pool.hpp"
#include "engine_host.hpp"
#include "http_frontend.hpp"
#include "log_limiter.hpp"

#include <array>
#include <future>
#include <set>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace jujubedrum;
using nlohmann::json;

namespace
{

/// Bound on every wait; far above any observed time, so that only a hang
/// reaches it.
constexpr seconds wait_timeout{60};

/// HTTP server with a fixed configuration stream and an empty list of
/// instances.
class fake_platform
{
public:
    explicit fake_platform(std::vector<std::string> records)
        : stream(std::move(records))
    {
        this->server.Get(
            "/v1/streams/([^/]+)/records", [this](const auto& req, auto& res)
            { res.set_content(this->page(req), "application/json"); });
        this->server.Get("/v1/instances",
                         [](const auto&, auto& res)
                         {
                             res.set_content(
                                 R"({"version":1,"full":true,"changes":[]})",
                                 "application/json");
                         });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread =
            std::thread([this] { this->server.listen_after_bind(); });
    }
    ~fake_platform()
    {
        this->server.stop();
        this->thread.join();
    }

    int port = 0;

private:
    std::string page(const httplib::Request& req) const
    {
        json records = json::array();
        const std::size_t from = std::stoul(req.get_param_value("from"));
        const std::size_t end =
            req.matches[1] == "config" ? this->stream.size() : 0;
        for (std::size_t i = from; i < end; ++i)
        {
            records.push_back({{"offset", i}, {"data", this->stream[i]}});
        }
        if (records.empty())
        {
            std::this_thread::sleep_for(milliseconds(20));
        }
        return json{{"first_retained", 0}, {"next", end}, {"records", records}}
            .dump();
    }

    std::vector<std::string> stream;
    httplib::Server server;
    std::thread thread;
};

class no_peers : public peer_transport
{
public:
    void call(peer_address, peer_request,
              std::function<void(peer_reply)> done) override
    {
        done(peer_failure{});
    }
};

std::string team_record(const key_pair& key, const std::string& team)
{
    config_reason why;
    const std::string body =
        json{{"caller_token_sha256", {sha256_hex(team + "-token")}}}.dump();
    return config_edit::create(*section_name::parse("teams/" + team), "admin",
                               0, "edit-" + team, body, why)
        ->sign(key)
        .to_record();
}

settings make_settings(const key_pair& key, int platform_port,
                       const std::vector<std::string>& operators = {})
{
    config_reason why;
    return *settings::load(
        json{{"instance", "e1"},
             {"domain", "d1"},
             {"region", "r1"},
             {"platform", {{"address", "127.0.0.1"}, {"port", platform_port}}},
             {"admin_public_key", key.public_key()},
             {"operator_token_sha256", operators},
             {"sender_threads", 1},
             {"http_threads", 4}}
            .dump(),
        why);
}

/// Runs an entry instance without backend servers, with the teams rake and
/// orders.
struct frontend_fixture
{
    explicit frontend_fixture(const std::vector<std::string>& operators = {})
        : values(make_settings(this->key, this->platform.port, operators))
    {
        this->host.start(this->peers);
        this->port = this->frontend.start().value_or(0);
        const auto limit = std::chrono::steady_clock::now() + wait_timeout;
        while (!this->host.ready() && std::chrono::steady_clock::now() < limit)
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
        BOOST_REQUIRE(this->host.ready());
    }
    ~frontend_fixture()
    {
        this->frontend.stop();
        this->host.stop();
    }

    httplib::Result post(const std::string& token, const std::string& body,
                         const std::string& path = "/v1/jobs") const
    {
        return this->client().Post(path, headers(token), body,
                                   "application/json");
    }
    httplib::Result get(const std::string& token, const std::string& path) const
    {
        return this->client().Get(path, headers(token));
    }
    int connect() const
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(this->port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(
            ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0);
        return fd;
    }

    static httplib::Headers headers(const std::string& token)
    {
        return token.empty()
                   ? httplib::Headers{}
                   : httplib::Headers{{"Authorization", "Bearer " + token}};
    }
    httplib::Client client() const
    {
        httplib::Client http_client("127.0.0.1", this->port);
        http_client.set_read_timeout(wait_timeout);
        return http_client;
    }

    const std::string job =
        R"({"team":"rake","tasks":[{"kind":"trip","payload":1}]})";
    config_reason why;
    key_pair key = *key_pair::generate(this->why);
    fake_platform platform{
        {team_record(this->key, "rake"), team_record(this->key, "orders")}};
    settings values;
    metrics_registry metrics;
    no_peers peers;
    engine_host host{this->values, 7, this->metrics};
    http_frontend frontend{this->values, this->host, this->metrics};
    int port = 0;
};

/// As `frontend_fixture`, with an operator's token in the settings.
struct operator_fixture : frontend_fixture
{
    operator_fixture()
        : frontend_fixture({sha256_hex("operator-token")})
    {
    }
};

/// Checks the HTTP status, and the status and code in the common error body.
void check_error(const httplib::Result& result, int status,
                 const std::string& code)
{
    BOOST_REQUIRE(result);
    BOOST_TEST(result->status == status);
    const json body = json::parse(result->body, nullptr, false);
    BOOST_REQUIRE(body.contains("error"));
    BOOST_TEST(body["error"].value("status", 0) == status);
    BOOST_TEST(body["error"].value("code", "") == code);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_frontend_suite, frontend_fixture)

// Guards against accepting a job without a token of its team.
BOOST_AUTO_TEST_CASE(job_without_token_of_team_is_refused)
{
    check_error(this->post("", this->job), 401, "no_token");
    check_error(this->post("wrong", this->job), 401, "unknown_token");
    check_error(this->post("orders-token", this->job), 403, "wrong_team");
    check_error(this->post("", "{}", "/v1/ids"), 401, "no_token");
}

// Guards against request bodies that use unbounded memory.
BOOST_AUTO_TEST_CASE(body_over_limit_is_refused)
{
    check_error(this->post("rake-token", std::string(9 << 20, ' ')), 413,
                "too_large");
}

// Guards against errors that do not name the faulty place in the body.
BOOST_AUTO_TEST_CASE(malformed_job_names_json_pointer)
{
    const auto result =
        this->post("rake-token", R"({"team":"rake","tasks":[{"kind":7}]})");
    check_error(result, 400, "malformed");
    BOOST_TEST(result->body.find("/tasks/0") != std::string::npos);
    check_error(this->post("rake-token", "{"), 400, "malformed");
}

// Guards against errors of the HTTP library without the common error body.
BOOST_AUTO_TEST_CASE(unknown_path_has_common_error_body)
{
    check_error(this->get("", "/v2"), 404, "unknown_route");
    check_error(this->get("", "/v1/jobs"), 404, "unknown_route");
}

// Guards against a team reading the outcomes of another team.
BOOST_AUTO_TEST_CASE(job_of_other_team_is_not_found)
{
    const auto result = this->post("rake-token", this->job);
    BOOST_REQUIRE(result);
    const std::string path =
        "/v1/jobs/" + json::parse(result->body).value("id", "");
    const auto own = this->get("rake-token", path);
    BOOST_REQUIRE(own);
    BOOST_TEST(json::parse(own->body).value("outcome", "") == "not_run");
    const auto other = this->get("orders-token", path);
    BOOST_REQUIRE(other);
    BOOST_TEST(other->status == 404);
}

// Guards against connections that occupy every thread, either idle or in the
// middle of a request, and against an incomplete request that never times out.
BOOST_AUTO_TEST_CASE(idle_and_slow_connections_leave_threads_for_requests)
{
    std::array<int, 4> idle_sockets{};
    for (int& fd : idle_sockets)
    {
        fd = this->connect();
    }
    const int slow = this->connect();
    const std::string half = "POST /v1/jobs HTTP/1.1\r\nContent-Length: 100\r\n"
                             "\r\n{\"team\"";
    BOOST_REQUIRE(::send(slow, half.data(), half.size(), 0) ==
                  static_cast<ssize_t>(half.size()));
    const auto served = this->get("", "/healthz");
    BOOST_REQUIRE(served);
    BOOST_TEST(served->status == 200);

    timeval receive_timeout{wait_timeout.count(), 0};
    ::setsockopt(slow, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
                 sizeof(receive_timeout));
    std::array<char, 4096> buffer{};
    ssize_t got = 1;
    while (got > 0)
    {
        got = ::recv(slow, buffer.data(), buffer.size(), 0);
    }
    BOOST_TEST((got == 0 || errno == ECONNRESET));
    ::close(slow);
    for (const int fd : idle_sockets)
    {
        ::close(fd);
    }
}

// Guards against operator paths that are open without a known token.
BOOST_FIXTURE_TEST_CASE(operator_path_without_known_token_is_refused,
                        operator_fixture)
{
    for (const char* path : {"/v1/admin/status", "/v1/admin/dump", "/metrics"})
    {
        check_error(this->get("", path), 401, "no_token");
        check_error(this->get("wrong", path), 401, "unknown_token");
        const auto result = this->get("operator-token", path);
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == 200);
    }
}

// Guards against metrics that a parser of the text format refuses.
BOOST_AUTO_TEST_CASE(metrics_declare_each_type_once_before_its_values)
{
    this->metrics.set_gauge("peers", "state=\"alive\"", 3);
    this->metrics.set_gauge("peers", "state=\"dead\"", 1);
    this->metrics.set_counter("peer_calls_total", "call=\"borrow\"", 2);
    this->metrics.set_gauge("large", 12345678);
    std::set<std::string> declared;
    std::string family;
    std::istringstream lines(this->get("", "/metrics")->body);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with("# TYPE "))
        {
            family = line.substr(7, line.find(' ', 7) - 7);
            BOOST_TEST(declared.insert(family).second);
            continue;
        }
        BOOST_TEST(line.starts_with(family));
    }
    BOOST_TEST(declared.contains("jujubedrum_peers"));
    BOOST_TEST(this->metrics.text().find("jujubedrum_large 12345678\n") !=
               std::string::npos);
}

// Guards against a team reading the state of another team.
BOOST_FIXTURE_TEST_CASE(dump_for_team_holds_only_its_part, operator_fixture)
{
    const auto whole = this->get("operator-token", "/v1/admin/dump");
    const auto part = this->get("rake-token", "/v1/admin/dump");
    BOOST_REQUIRE((whole && part));
    BOOST_TEST(json::parse(whole->body)["teams"].size() == 2U);
    const json shown = json::parse(part->body);
    BOOST_TEST(shown["teams"].contains("rake"));
    BOOST_TEST(shown["teams"].size() == 1U);
    BOOST_TEST(!shown.contains("servers"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(log_limiter_suite)

// Guards against a repeated error that floods the log or is logged only once.
BOOST_AUTO_TEST_CASE(count_within_interval_gives_one_line)
{
    log_limiter limiter(seconds(10));
    BOOST_TEST(limiter.count("a", seconds(100)).value_or(0) == 1U);
    BOOST_TEST(!limiter.count("a", seconds(101)));
    BOOST_TEST(limiter.count("b", seconds(101)).value_or(0) == 1U);
    BOOST_TEST(!limiter.count("a", seconds(109)));
    BOOST_TEST(limiter.count("a", seconds(110)).value_or(0) == 3U);
    BOOST_TEST(!limiter.count("a", seconds(111)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(connection_pool_suite)

// Guards against a pool in which blocked connections starve later ones.
BOOST_AUTO_TEST_CASE(enqueue_while_all_threads_wait_starts_another)
{
    connection_pool pool(5);
    std::promise<void> release;
    const auto released = release.get_future().share();
    for (int i = 0; i < 4; ++i)
    {
        pool.enqueue([released] { released.wait(); });
    }
    pool.enqueue([&release] { release.set_value(); });
    const auto result = released.wait_for(wait_timeout);
    if (result != std::future_status::ready)
    {
        release.set_value();
    }
    pool.shutdown();
    BOOST_TEST((result == std::future_status::ready));
}

BOOST_AUTO_TEST_SUITE_END()
