// The platform's list over HTTP.

#include <bluebell/runtime/list_reader.h>

#include <glog/logging.h>

#include <iterator>

namespace bluebell::runtime {

using core::error_code;

namespace {

constexpr std::uint32_t max_head = 16 * 1024;

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
      on_event_(std::move(on_event)), reader_(message_reader::answers(max_head))
{
}

void worker_list_reader::run(const core::read_worker_list&)
{
    // A reading that is still in progress has taken too long: its connection is given up.
    if (reading_ && stream_ != nullptr) {
        stream_->close();
        stream_.reset();
    }
    reading_ = true;
    workers_.clear();
    ask("");
}

void worker_list_reader::open()
{
    auto made = byte_stream::connect(loop_, host_, port_);
    if (!made) {
        fail(made.error());
        return;
    }
    stream_ = std::move(*made);
    byte_stream::callbacks calls;
    calls.data = [self = weak_from_this()](std::string_view data) -> std::size_t {
        const auto me = self.lock();
        return me == nullptr ? data.size() : me->on_data(data);
    };
    calls.closed = [self = weak_from_this()](const core::error* why) {
        const auto me = self.lock();
        if (me == nullptr)
            return;
        me->stream_.reset();
        if (me->reading_)
            me->fail(why != nullptr
                         ? *why
                         : core::error{error_code::unavailable, "read list", me->host_, "closed"});
    };
    stream_->start(std::move(calls));
}

void worker_list_reader::ask(const std::string& page)
{
    if (stream_ == nullptr)
        open();
    if (stream_ == nullptr)
        return;
    reader_.next();
    body_.clear();
    stream_->write("GET " + codec_.worker_list_target(page) + " HTTP/1.1\r\nHost: " + host_ + ":" +
                   std::to_string(port_) + "\r\n\r\n");
}

std::size_t worker_list_reader::on_data(std::string_view data)
{
    const auto self = shared_from_this();
    const auto used = reader_.read(data);
    if (!used) {
        fail({error_code::corrupt, "read list", host_, used.error().text});
        return data.size();
    }
    body_ += reader_.take_body();
    if (!reader_.done())
        return *used;
    constexpr int ok = 200;
    if (reader_.head().status != ok)
        fail({error_code::overloaded, "read list", host_,
              "status " + std::to_string(reader_.head().status)});
    else
        take_page(std::exchange(body_, {}));
    return *used;
}

void worker_list_reader::take_page(const std::string& body)
{
    auto page = codec_.parse_worker_page(body);
    if (!page) {
        fail(page.error());
        return;
    }
    if (page->invalid_entries != 0)
        LOG(WARNING) << "list: Entries can't be read. count=" << page->invalid_entries;
    workers_.insert(workers_.end(), std::make_move_iterator(page->workers.begin()),
                    std::make_move_iterator(page->workers.end()));
    if (!page->next_page.empty()) {
        ask(page->next_page);
        return;
    }
    reading_ = false;
    on_event_(core::exchange_event(core::worker_list_received{std::move(workers_)}));
}

void worker_list_reader::fail(core::error why)
{
    reading_ = false;
    if (stream_ != nullptr) {
        const auto broken = std::exchange(stream_, nullptr);
        broken->close();
        loop_->defer([broken] {});
    }
    on_event_(core::exchange_event(core::worker_list_failed{std::move(why)}));
}

} // namespace bluebell::runtime
