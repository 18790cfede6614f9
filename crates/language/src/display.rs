//! Rendering.
