#include "clPeerNetwork.h"

#include "clEndpoint.h"
#include "clEventLoop.h"
#include "clLog.h"
#include "clPeerCodec.h"

#include <boost/asio/post.hpp>
#include <capnp/rpc-twoparty.h>
#include <future>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <map>
#include <optional>
#include <thread>

namespace catkinloom {

namespace {

/// A pending call: its result, and the fiber that waits for it.
template<class Answer>
struct peer_call
{
  std::optional<Answer> mAnswer;
  std::string mFailure;
  bool mConnected = false;
  fiber_wait mWait;
};

/// RPC server that dispatches calls from peers to the event loop.
class peer_server final : public wire::Peer::Server
{
public:
  peer_server(event_loop& aLoop, peer_handler& aHandler)
    : mLoop(aLoop)
    , mHandler(aHandler)
  {
  }

  kj::Promise<void> beat(BeatContext aContext) override
  {
    return Answer<peer_heartbeat>(
             [this,
              heartbeat = ReadHeartbeat(aContext.getParams().getHeartbeat())] {
               return mHandler.OnHeartbeat(heartbeat);
             })
      .then([aContext](const peer_heartbeat& aAnswer) mutable {
        WriteHeartbeat(aAnswer, aContext.getResults().initHeartbeat());
      });
  }

  kj::Promise<void> fetchManifest(FetchManifestContext aContext) override
  {
    std::vector<std::string> digests;
    for (const auto digest : aContext.getParams().getDigests()) {
      digests.emplace_back(digest.cStr(), digest.size());
    }
    return Answer<peer_manifest_change>(
             [this, digests] { return mHandler.OnFetchManifest(digests); })
      .then([aContext](const peer_manifest_change& aAnswer) mutable {
        WriteManifestChange(aAnswer, aContext.getResults().initChange());
      });
  }

  kj::Promise<void> forward(ForwardContext aContext) override
  {
    return Answer<peer_answer>([this,
                                request = ReadForwardedRequest(
                                  aContext.getParams().getRequest())] {
             return mHandler.OnForward(request);
           })
      .then([aContext](const peer_answer& aAnswer) mutable {
        WriteForwardedAnswer(aAnswer, aContext.getResults().initAnswer());
      });
  }

private:
  /// Runs aJob in a fiber of the event loop; the promise resolves to its
  /// result.
  template<class Value, class Job>
  kj::Promise<Value> Answer(Job aJob)
  {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Value>();
    auto fulfiller =
      std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Value>>>(
        kj::mv(pair.fulfiller));
    boost::asio::post(mLoop.Context(), [this, fulfiller, aJob] {
      mLoop.Spawn([fulfiller, aJob] { (*fulfiller)->fulfill(aJob()); });
    });
    return kj::mv(pair.promise);
  }

  event_loop& mLoop;
  peer_handler& mHandler;
};

/// One outgoing connection to a peer.
struct peer_client
{
  explicit peer_client(kj::Own<kj::AsyncIoStream> aStream)
    : mStream(kj::mv(aStream))
    , mRpc(*mStream)
    , mPeer(mRpc.bootstrap().castAs<wire::Peer>())
  {
  }

  kj::Own<kj::AsyncIoStream> mStream;
  capnp::TwoPartyClient mRpc;
  wire::Peer::Client mPeer;
};

} // namespace

/// Thread that runs the Cap'n Proto event loop.  Except for mThread and
/// mExecutor, members are accessed only from that thread; it reaches the other
/// event loop by posting to it.
class peer_network::network_thread : public kj::TaskSet::ErrorHandler
{
public:
  network_thread(event_loop& aLoop, peer_handler& aHandler)
    : mLoop(aLoop)
    , mHandler(aHandler)
  {
    std::promise<void> started;
    std::future<void> startedFuture = started.get_future();
    mThread = std::thread([this, &started] { Run(started); });
    startedFuture.wait();
  }

  virtual ~network_thread()
  {
    mExecutor->executeSync([this] { mStopFulfiller->fulfill(); });
    mThread.join();
  }

  /// Starts listening on an address that ParseEndpoint accepts.  Returns an
  /// error message, or an empty string on success.
  std::string Listen(const std::string& aAddress)
  {
    return mExecutor->executeSync([this, &aAddress]() -> std::string {
      try {
        const auto endpoint = ParseEndpoint(aAddress).value();
        sockaddr_storage storage{};
        std::memcpy(&storage, endpoint.data(), endpoint.size());
        auto address = mIo->provider->getNetwork().getSockaddr(
          &storage, static_cast<unsigned>(endpoint.size()));
        mReceiver = address->listen();
        mServer.emplace(kj::heap<peer_server>(mLoop, mHandler));
        mTasks->add(mServer->listen(*mReceiver));
        return {};
      } catch (const kj::Exception& failure) {
        return failure.getDescription().cStr();
      }
    });
  }

  /// Makes one call and suspends the calling fiber until it completes or times
  /// out.  aSend builds and sends the request; aRead decodes the response.
  template<class Answer, class Send, class Read>
  std::shared_ptr<peer_call<Answer>> Call(const std::string& aAddress,
                                          milliseconds aTimeout,
                                          Send aSend,
                                          Read aRead)
  {
    auto call = std::make_shared<peer_call<Answer>>();
    mExecutor->executeSync([&] {
      auto promise =
        Connect(aAddress).then([call, aSend, aRead](wire::Peer::Client aPeer) {
          call->mConnected = true;
          return aSend(aPeer).then([call, aRead](auto&& aResponse) {
            call->mAnswer = aRead(aResponse);
          });
        });
      mTasks->add(
        mIo->provider->getTimer()
          .timeoutAfter(aTimeout.count() * kj::MILLISECONDS, kj::mv(promise))
          .catch_([this, call, address = aAddress](kj::Exception&& aFailure) {
            call->mFailure = aFailure.getDescription().cStr();
            // The connection may be dead, so the next call opens a new one.
            mClients.erase(address);
          })
          .then([this, call] {
            boost::asio::post(mLoop.Context(),
                              [call] { call->mWait.Notify(); });
          }));
    });
    call->mWait.Wait();
    return call;
  }

private:
  void taskFailed(kj::Exception&& aFailure) override
  {
    // Called on the RPC thread; log_writer may be used only on the event
    // loop's thread.
    boost::asio::post(mLoop.Context(),
                      [text = std::string(aFailure.getDescription().cStr())] {
                        Log(log_level::Warning,
                            "peer",
                            "Peer RPC task failed; peers may be unable to call "
                            "this daemon. cause={}",
                            text);
                      });
  }

  void Run(std::promise<void>& aStarted)
  {
    auto io = kj::setupAsyncIo();
    std::optional<kj::TaskSet> tasks(std::in_place, *this);
    auto exit = kj::newPromiseAndFulfiller<void>();
    mIo = &io;
    mTasks = &*tasks;
    mStopFulfiller = kj::mv(exit.fulfiller);
    mExecutor = &kj::getCurrentThreadExecutor();
    aStarted.set_value();
    exit.promise.wait(io.waitScope);
    tasks.reset();
    mServer.reset();
    mReceiver = nullptr;
    mClients.clear();
  }

  kj::Promise<wire::Peer::Client> Connect(const std::string& aAddress)
  {
    const auto found = mClients.find(aAddress);
    if (found != mClients.end()) {
      return found->second->mPeer;
    }
    const auto parsed = ParseEndpoint(aAddress);
    if (!parsed) {
      return KJ_EXCEPTION(FAILED,
                          "address is not IP:port, such as 10.0.0.5:7001");
    }
    const auto& endpoint = parsed.value();
    sockaddr_storage storage{};
    std::memcpy(&storage, endpoint.data(), endpoint.size());
    auto address = mIo->provider->getNetwork().getSockaddr(
      &storage, static_cast<unsigned>(endpoint.size()));
    return address->connect().then(
      [this, aAddress](kj::Own<kj::AsyncIoStream> aStream) {
        auto& client = mClients[aAddress];
        if (!client) {
          client = std::make_shared<peer_client>(kj::mv(aStream));
        }
        return client->mPeer;
      });
  }

  event_loop& mLoop;
  peer_handler& mHandler;
  std::thread mThread;
  const kj::Executor* mExecutor = nullptr;
  kj::AsyncIoContext* mIo = nullptr;
  kj::TaskSet* mTasks = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> mStopFulfiller;
  kj::Own<kj::ConnectionReceiver> mReceiver;
  std::optional<capnp::TwoPartyServer> mServer;
  std::map<std::string, std::shared_ptr<peer_client>> mClients;
};

namespace {

/// Value or error of a completed call.
template<class Answer>
result<Answer>
ToResult(peer_call<Answer>& aCall, const std::string& aAddress)
{
  if (aCall.mAnswer) {
    return std::move(*aCall.mAnswer);
  }
  const error_kind kind = aCall.mConnected ? error_kind::OutcomeUnknown
                                           : error_kind::UpstreamUnreachable;
  return error{ kind, aAddress + ": " + aCall.mFailure };
}

} // namespace

peer_network::peer_network(event_loop& aLoop, peer_handler& aHandler)
  : mThread(std::make_unique<network_thread>(aLoop, aHandler))
{
}

peer_network::~peer_network() = default;

result<void>
peer_network::Listen(const std::string& aAddress)
{
  BOOST_OUTCOME_TRY(ParseEndpoint(aAddress));
  const std::string failure = mThread->Listen(aAddress);
  if (!failure.empty()) {
    return error{ error_kind::BadSettings,
                  "Cannot listen on " + aAddress + ": " + failure };
  }
  return boost::outcome_v2::success();
}

result<peer_heartbeat>
peer_network::SendHeartbeat(const std::string& aAddress,
                            const peer_heartbeat& aHeartbeat,
                            milliseconds aTimeout)
{
  const auto call = mThread->Call<peer_heartbeat>(
    aAddress,
    aTimeout,
    [aHeartbeat](wire::Peer::Client aPeer) {
      auto request = aPeer.beatRequest();
      WriteHeartbeat(aHeartbeat, request.initHeartbeat());
      return request.send();
    },
    [](const auto& aResponse) {
      return ReadHeartbeat(aResponse.getHeartbeat());
    });
  return ToResult(*call, aAddress);
}

result<peer_manifest_change>
peer_network::FetchManifest(const std::string& aAddress,
                            const std::vector<std::string>& aDigests,
                            milliseconds aTimeout)
{
  const auto call = mThread->Call<peer_manifest_change>(
    aAddress,
    aTimeout,
    [aDigests](wire::Peer::Client aPeer) {
      auto request = aPeer.fetchManifestRequest();
      auto digests =
        request.initDigests(static_cast<unsigned>(aDigests.size()));
      for (unsigned i = 0; i < aDigests.size(); ++i) {
        digests.set(i, aDigests[i]);
      }
      return request.send();
    },
    [](const auto& aResponse) {
      return ReadManifestChange(aResponse.getChange());
    });
  return ToResult(*call, aAddress);
}

result<peer_answer>
peer_network::Forward(const std::string& aAddress,
                      const peer_request& aRequest,
                      milliseconds aTimeout)
{
  const auto call = mThread->Call<peer_answer>(
    aAddress,
    aTimeout,
    [aRequest](wire::Peer::Client aPeer) {
      auto request = aPeer.forwardRequest();
      WriteForwardedRequest(aRequest, request.initRequest());
      return request.send();
    },
    [](const auto& aResponse) {
      return ReadForwardedAnswer(aResponse.getAnswer());
    });
  return ToResult(*call, aAddress);
}

} // namespace catkinloom
