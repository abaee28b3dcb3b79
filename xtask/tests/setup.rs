//! Guards against a first command that stops although it could install what is missing.

use xtask::setup::{Machine, SetupError, Step};

struct Case {
    name: &'static str,
    machine: Machine,
    step: Step,
}

#[test]
fn what_is_missing_is_installed_where_that_is_allowed() {
    let cases = [
        Case {
            name: "cmake is there",
            machine: Machine { cmake: true, installs: true },
            step: Step::Build,
        },
        Case {
            name: "a fresh machine",
            machine: Machine { cmake: false, installs: true },
            step: Step::Install,
        },
        Case {
            name: "no right to install",
            machine: Machine { cmake: false, installs: false },
            step: Step::Stop,
        },
    ];
    for Case { name, machine, step } in cases {
        assert_eq!(machine.step(), step, "{name}");
    }
}

#[test]
fn the_error_fits_one_line_and_says_what_to_type() {
    let text = SetupError::Cmake.to_string();
    assert!(!text.contains('\n') && text.contains("apt-get install cmake"), "{text}");
}
