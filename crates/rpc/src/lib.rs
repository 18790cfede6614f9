//! The JSON-RPC interface between the daemon and the operators' command line.
//!
//! The package defines the method names and types for both sides. The daemon implements [`OperatorServer`]; clients
//! call [`OperatorClient`] on a `jsonrpsee` HTTP client.

use bronzespoke_language::answer;
use bronzespoke_model::vm;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

pub mod command;
pub mod timeline;

/// Methods that every daemon provides to operators.
#[rpc(client, server, namespace = "operator")]
pub trait Operator {
    /// Executes one statement of the operators' language.
    ///
    /// A rejected statement yields an [`answer::Answer::Error`], not a JSON-RPC error, so that the answer to a command
    /// can be stored and returned again when the command is resent. `command_id` is ignored for queries. A command
    /// without an id gets one from the daemon and cannot be resent safely.
    #[method(name = "execute")]
    async fn execute(&self, line: String, command_id: Option<command::Id>) -> RpcResult<answer::Answer>;

    /// Returns at most `limit` events of this process, in order, starting after the sequence number `after`.
    #[method(name = "timeline")]
    async fn timeline(&self, after: u64, limit: u32) -> RpcResult<timeline::Page>;

    /// Returns the VMs in the directory, as known to this process.
    #[method(name = "directory")]
    async fn directory(&self) -> RpcResult<Vec<vm::Vm>>;
}
