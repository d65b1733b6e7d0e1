// Reads the platform's list of workers over HTTP.

#include <bluebell/runtime/list_reader.h>

#include <glog/logging.h>

#include <iterator>

namespace bluebell::runtime {

using core::error_code;

namespace {

constexpr std::uint32_t max_head_bytes = 16 * 1024;
/// A page that isn't complete after this time fails the read.
constexpr core::microseconds page_timeout{1'200'000};
/// Maximum size of one page of the list, in bytes.
constexpr std::size_t max_page_bytes = std::size_t{4} * 1024 * 1024;
/// Maximum number of workers in a list.
constexpr std::size_t max_workers = 50'000;

} // namespace

std::shared_ptr<worker_list_reader> worker_list_reader::make(std::shared_ptr<event_loop> loop,
                                                             const pass_codec& codec,
                                                             std::string host, std::uint16_t port,
                                                             sink on_event)
{
    return std::shared_ptr<worker_list_reader>(
        new worker_list_reader(std::move(loop), codec, std::move(host), port, std::move(on_event)));
}

worker_list_reader::worker_list_reader(std::shared_ptr<event_loop> loop, const pass_codec& codec,
                                       std::string host, std::uint16_t port, sink on_event)
    : loop_(std::move(loop)), codec_(codec), host_(std::move(host)), port_(port),
      on_event_(std::move(on_event)), reader_(message_reader::answers(max_head_bytes))
{
    page_timer_ = watcher::timer(*loop_, [this] { on_page_timeout(); });
}

void worker_list_reader::on_page_timeout()
{
    if (is_reading_)
        fail({error_code::deadline_exceeded, "read list", host_, "no complete page in time"});
}

void worker_list_reader::run(const core::read_worker_list&)
{
    // A read that is still in progress has taken too long: its connection is closed.
    if (is_reading_ && stream_ != nullptr) {
        stream_->close();
        stream_.reset();
    }
    is_reading_ = true;
    workers_.clear();
    request_page("");
}

void worker_list_reader::connect()
{
    auto connected = byte_stream::connect(loop_, host_, port_);
    if (!connected) {
        fail(connected.error());
        return;
    }
    stream_ = std::move(*connected);
    byte_stream::callbacks handlers;
    handlers.data = [self = weak_from_this()](std::string_view data) -> std::size_t {
        const auto reader = self.lock();
        return reader == nullptr ? data.size() : reader->on_data(data);
    };
    handlers.closed = [self = weak_from_this()](const core::error* failure) {
        const auto reader = self.lock();
        if (reader == nullptr)
            return;
        reader->stream_.reset();
        if (reader->is_reading_)
            reader->fail(failure != nullptr ? *failure
                                            : core::error{error_code::unavailable, "read list",
                                                          reader->host_, "closed"});
    };
    stream_->start(std::move(handlers));
}

void worker_list_reader::request_page(const std::string& page)
{
    if (stream_ == nullptr)
        connect();
    if (stream_ == nullptr)
        return;
    reader_.next();
    body_.clear();
    page_timer_->arm(page_timeout);
    stream_->write("GET " + codec_.worker_list_target(page) + " HTTP/1.1\r\nHost: " + host_ + ":" +
                   std::to_string(port_) + "\r\n\r\n");
}

std::size_t worker_list_reader::on_data(std::string_view data)
{
    const auto self = shared_from_this();
    if (!is_reading_) {
        // Bytes without a request: the next answer could not be told from them.
        stream_->close();
        stream_.reset();
        return data.size();
    }
    const auto consumed = reader_.read(data);
    if (!consumed) {
        fail({error_code::corrupt, "read list", host_, consumed.error().text});
        return data.size();
    }
    body_ += reader_.take_body();
    if (body_.size() > max_page_bytes || workers_.size() > max_workers) {
        fail({error_code::too_large, "read list", host_, "the list is too long"});
        return data.size();
    }
    if (!reader_.done())
        return *consumed;
    constexpr int status_ok = 200;
    if (reader_.head().status != status_ok)
        fail({error_code::overloaded, "read list", host_,
              "status " + std::to_string(reader_.head().status)});
    else
        handle_page(std::exchange(body_, {}));
    return *consumed;
}

void worker_list_reader::handle_page(const std::string& body)
{
    auto page = codec_.parse_worker_page(body);
    if (!page) {
        fail(page.error());
        return;
    }
    if (page->invalid_entries != 0)
        LOG(WARNING) << "list: Invalid entries of the worker list skipped. count="
                     << page->invalid_entries;
    workers_.insert(workers_.end(), std::make_move_iterator(page->workers.begin()),
                    std::make_move_iterator(page->workers.end()));
    if (!page->is_complete)
        LOG(WARNING)
            << "list: A page of the worker list breaks off; what it lacks stays as it was.";
    if (!page->next_page.empty()) {
        request_page(page->next_page);
        return;
    }
    is_reading_ = false;
    on_event_(
        core::exchange_event(core::worker_list_received{std::move(workers_), page->is_complete}));
}

void worker_list_reader::fail(core::error failure)
{
    is_reading_ = false;
    if (stream_ != nullptr) {
        const auto failed_stream = std::exchange(stream_, nullptr);
        failed_stream->close();
        loop_->defer([failed_stream] {});
    }
    on_event_(core::exchange_event(core::worker_list_failed{std::move(failure)}));
}

} // namespace bluebell::runtime
