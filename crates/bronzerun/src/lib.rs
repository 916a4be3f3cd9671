//! Facade of the library and the daemons' entry points.
