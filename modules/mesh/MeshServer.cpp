#include <mesh/MeshServer.h>

#include <config/document/DocumentCodec.h>
#include <config/model/DocumentRecord.h>
#include <mesh/codec/PeerStateCodec.h>
#include <mesh/rpc/LineConnector.h>
#include <mesh/rpc/MethodNames.h>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>

namespace Greengage {

/// The methods of the server, registered with libjsonrpccpp.
class MeshServer::Implementation : public jsonrpc::AbstractServer<MeshServer::Implementation> {
public:
    Implementation(event_base& base, const std::string& address, std::uint16_t port, Handlers handlers)
        : Implementation(std::make_unique<LineConnector>(base, address, port, handlers.onClosing), handlers)
    {
    }

    void readState(const Json::Value& parameters, Json::Value& result)
    {
        this->takeCall(parameters);
        result["call"] = parameters["call"];
        result["value"] = PeerStateCodec::toJson(this->handlers.describe());
    }

    void fetchDocument(const Json::Value& parameters, Json::Value& result)
    {
        this->takeCall(parameters);
        const DocumentRecord* record = this->handlers.currentDocument();
        if (!record || !parameters["revision"].isUInt64() || record->revision < parameters["revision"].asUInt64())
            refuse(parameters, "this daemon has no document of the requested revision or newer");
        result["call"] = parameters["call"];
        result["value"] = DocumentCodec::toJson(*record);
    }

    LineConnector& lines() { return *this->connector; }

private:
    /// Ends a call with an error that carries the id of the call; the library turns the exception into the answer.
    [[noreturn]] static void refuse(const Json::Value& parameters, const std::string& detail)
    {
        Json::Value data(Json::objectValue);
        data["call"] = parameters["call"];
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, detail, data);
    }

    void takeCall(const Json::Value& parameters)
    {
        if (!this->connector->takeCall())
            refuse(parameters, "the line has too many calls");
    }

    Implementation(std::unique_ptr<LineConnector> connector, Handlers handlers)
        : jsonrpc::AbstractServer<MeshServer::Implementation>(*connector, jsonrpc::JSONRPC_SERVER_V2)
        , connector(std::move(connector))
        , handlers(std::move(handlers))
    {
        using jsonrpc::Procedure;
        this->bindAndAddMethod(Procedure(MethodNames::readState, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "call",
                                   jsonrpc::JSON_INTEGER, nullptr),
            &Implementation::readState);
        this->bindAndAddMethod(Procedure(MethodNames::fetchDocument, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                   "call", jsonrpc::JSON_INTEGER, "revision", jsonrpc::JSON_INTEGER, nullptr),
            &Implementation::fetchDocument);
    }

    std::unique_ptr<LineConnector> connector;
    Handlers handlers;
};

MeshServer::MeshServer(event_base& base, std::string address, std::uint16_t port, Handlers handlers)
    : implementation(std::make_unique<Implementation>(base, address, port, std::move(handlers)))
{
}

MeshServer::~MeshServer() = default;

Result<void, MeshError> MeshServer::listen()
{
    if (!this->implementation->lines().StartListening())
        return MeshError { MeshErrorCode::Disconnected, "cannot listen for other daemons on the mesh port" };
    return success();
}

std::uint64_t MeshServer::bytesReceived() const { return this->implementation->lines().bytesReceived(); }
std::uint64_t MeshServer::bytesSent() const { return this->implementation->lines().bytesSent(); }

} // namespace Greengage
