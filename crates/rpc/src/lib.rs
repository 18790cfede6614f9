//! The JSON-RPC interface between the daemon and the operators' command line.
//!
//! The package exists so that both sides compile the same method names and types. The daemon implements
//! [`OperatorServer`]; a program holds a `jsonrpsee` HTTP client and calls [`OperatorClient`].

use bronzespoke_language::answer;
use bronzespoke_model::vm;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

pub mod command;
pub mod timeline;

/// Methods that every daemon serves to operators.
#[rpc(client, server, namespace = "operator")]
pub trait Operator {
    /// Executes one statement of the operators' language.
    ///
    /// A refused statement is an [`answer::Answer::Error`], not a JSON-RPC error, so that the answer of a command
    /// can be stored and returned again to a resend. `command_id` is ignored for queries. A command without an id
    /// receives one from the daemon, and cannot be resent safely.
    #[method(name = "execute")]
    async fn execute(&self, line: String, command_id: Option<command::Id>) -> RpcResult<answer::Answer>;

    /// Reads events of this process with sequence numbers greater than `after`, in order, at most `limit`.
    #[method(name = "timeline")]
    async fn timeline(&self, after: u64, limit: u32) -> RpcResult<timeline::Page>;

    /// Returns the VMs in the directory as this process knows it.
    #[method(name = "directory")]
    async fn directory(&self) -> RpcResult<Vec<vm::Vm>>;
}
