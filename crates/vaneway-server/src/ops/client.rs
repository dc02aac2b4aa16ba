//! gRPC client for the operators' interface of a process.

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::CompioExecutor;
use cyper_core::HyperStream;
use eyre::WrapErr as _;
use eyre::eyre;
use hyper::client::conn::http2;
use tonic::Status;
use tonic::body::Body;
use tonic::metadata::MetadataValue;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tower::service_fn;
use tower::util::ServiceFn;

use crate::proto::v1::operators_client::OperatorsClient;

/// The process to call, and the credentials for it.
#[derive(Debug, Clone)]
pub struct Target {
    /// The operators' address of the process.
    pub address: SocketAddr,
    /// The operator's token, if the process requires one.
    pub token: Option<String>,
}

/// Maximum time for establishing the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Adds the operator's token to every call.
#[derive(Debug, Clone)]
pub struct AddToken(Option<MetadataValue<tonic::metadata::Ascii>>);

impl Interceptor for AddToken {
    fn call(&mut self, mut request: tonic::Request<()>) -> Result<tonic::Request<()>, Status> {
        if let Some(token) = &self.0 {
            request.metadata_mut().insert("authorization", token.clone());
        }
        Ok(request)
    }
}

/// A client for one connection, which sends requests through `F`.
pub type Client<F> = OperatorsClient<InterceptedService<ServiceFn<F>, AddToken>>;

/// Connects to a process.
///
/// # Errors
///
/// If the process can't be reached, or the token has characters that are invalid in a header.
pub async fn connect(
    target: &Target,
) -> eyre::Result<
    Client<
        impl FnMut(
            hyper::Request<Body>,
        ) -> std::pin::Pin<
            Box<dyn Future<Output = hyper::Result<hyper::Response<hyper::body::Incoming>>>>,
        > + Clone,
    >,
> {
    let address = target.address;
    let context = || format!("failed to connect to the operators' address {address}");
    let stream = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|elapsed| eyre!("connection timed out: {elapsed}"))
        .and_then(|connected| connected.map_err(eyre::Report::from))
        .wrap_err_with(context)?;
    let (tx, connection) = http2::handshake(CompioExecutor, HyperStream::new_plain(stream))
        .await
        .wrap_err_with(context)?;
    compio::runtime::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("event=operator_connection_closed error={error:?}");
        }
    })
    .detach();
    let token = target.token.as_ref().map(|token| format!("Bearer {token}").parse());
    let token =
        token.transpose().wrap_err("the token has characters that are invalid in a header")?;
    let send = move |req: hyper::Request<Body>| {
        let mut tx = tx.clone();
        Box::pin(async move { tx.send_request(req).await })
            as std::pin::Pin<Box<dyn Future<Output = _>>>
    };
    let service = InterceptedService::new(service_fn(send), AddToken(token));
    let origin = format!("http://{address}").parse().wrap_err_with(context)?;
    Ok(OperatorsClient::with_origin(service, origin))
}

/// Converts the error status of a call into a report.
pub fn status_error(status: &Status) -> eyre::Report {
    eyre!("the process answered {}: {}", status.code(), status.message())
}
