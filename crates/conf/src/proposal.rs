//! One proposal on the VM that an operator gave it to.
