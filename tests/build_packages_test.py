#!/usr/bin/env python3
"""Checks that the deploy build uses no system package beyond those that deploy/system.toml lists.

The build command runs under strace in a fresh copy of the tracked files, without the tests. Every header, library and
tool that it opened or executed is looked up in dpkg's database. Packages that a listed one depends on, and the essential
ones, count as listed; recommended packages do not. Only dpkg's local database is queried, so that no network is needed.

    tests/build_packages_test.py                 self-tests, then the check
    tests/build_packages_test.py --list FILE     also writes each used file with its package to FILE

Exit status: 0 all passed, 1 a check failed, 2 the check could not run.
"""

import argparse
import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DEPLOY_FILE = "deploy/system.toml"
BUILD_TIMEOUT_S = 900
SEARCH_PATH = "/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin"
# Paths that no package owns: kernel interfaces and files that package scripts generate.
UNOWNED_PATHS = ("/proc/", "/sys/", "/dev/", "/etc/ld.so.cache", "/etc/alternatives/")
HEADER = re.compile(r"/include/|\.(h|hpp|hh|inc|ipp)$")
LIBRARY = re.compile(r"\.(a|o|so)(\.[0-9.]+)?$")
SHARED_LIBRARY = re.compile(r"\.so(\.[0-9.]+)?$")
GNU_LINKERS = re.compile(r"(^|-)ld(\.bfd)?$")
OTHER_LINKERS = re.compile(r"(^|-)(ld\.(?!bfd$)\w+|ld64|mold|gold|lld)$")
CALL = re.compile(r"^(\d+) +(execve|openat|open|connect)\((.*)$")
RESUMED = re.compile(r"^(\d+) +<\.\.\. (?:execve|openat|open|connect) resumed>(.*)$")
QUOTED = re.compile(r'"((?:[^"\\]|\\.)*)"')
CURRENT_FOLDER = re.compile(r"^AT_FDCWD<([^>]*)>")


class CannotRun(Exception):
    """Raised when the check cannot run."""


class Trace:
    """Effects of a build: files read and written, programs executed, network connections opened."""

    def __init__(self):
        self.read = set()
        self.executed = set()
        self.written = set()
        self.connected = set()

    def add(self, call, text):
        """Adds one complete system call; `text` holds its arguments and result."""
        arguments, result = re.split(r"\) += ", text, maxsplit=1)
        if call == "connect":
            if "AF_INET" in arguments:
                self.connected.add(arguments)
            return
        quoted = QUOTED.search(arguments)
        if result.startswith("-") or not quoted:
            return
        folder = CURRENT_FOLDER.match(arguments)
        path = os.path.normpath(os.path.join(folder.group(1) if folder else "/", quoted.group(1)))
        if call == "execve":
            self.executed.add(path)
        elif "O_WRONLY" in arguments or "O_RDWR" in arguments:
            self.written.add(path)
        elif not self.is_own_library(path, arguments):
            self.read.add(path)

    @staticmethod
    def is_own_library(path, arguments):
        """Returns whether a program loaded the file as its own shared library.

        Such a library is a dependency of the program's package and no input of the build. The dynamic loader opens
        files with O_CLOEXEC; GNU ld opens its inputs without it.
        """
        return "O_CLOEXEC" in arguments and SHARED_LIBRARY.search(path) is not None


def parse_trace(lines):
    """Parses the output of strace -y, which prints an interrupted call in two lines."""
    trace = Trace()
    unfinished = {}
    for line in lines:
        resumed = RESUMED.match(line)
        if resumed:
            call, start = unfinished.pop(resumed.group(1), (None, ""))
            if call:
                trace.add(call, start + resumed.group(2))
            continue
        started = CALL.match(line)
        if not started:
            continue
        process, call, text = started.groups()
        if text.rstrip().endswith("<unfinished ...>"):
            unfinished[process] = (call, text.replace("<unfinished ...>", ""))
        else:
            trace.add(call, text)
    return trace


class Packages:
    """Installed packages with their dependencies, from dpkg's status records."""

    def __init__(self, records):
        """`records` are tuples: name, essential, dependencies, provided names."""
        self.dependencies_ = {}
        self.providers_ = {}
        self.essential_ = set()
        for name, essential, depends, provides in records:
            self.dependencies_[name] = [group for group in depends.split(",") if group.strip()]
            if essential == "yes":
                self.essential_.add(name)
            for provided in filter(None, map(str.strip, provides.split(","))):
                self.providers_.setdefault(self.plain_name(provided), set()).add(name)

    @staticmethod
    def plain_name(dependency):
        """Removes version and architecture from a dependency."""
        return re.split(r"[ :(]", dependency.strip())[0]

    def resolve(self, group):
        """Returns the package that satisfies `a | b`: the first installed one, or the only installed provider of a virtual name."""
        for alternative in group.split("|"):
            name = self.plain_name(alternative)
            if name in self.dependencies_:
                return name
            providers = self.providers_.get(name, set())
            if len(providers) == 1:
                return next(iter(providers))
        return None

    def closure(self, listed):
        """Returns the listed and the essential packages with all their dependencies."""
        found = set()
        pending = [*listed, *self.essential_]
        while pending:
            name = pending.pop()
            if name in found or name not in self.dependencies_:
                continue
            found.add(name)
            pending.extend(filter(None, map(self.resolve, self.dependencies_[name])))
        return found

    # Returns the listed packages that are not installed.
    def missing(self, listed):
        return sorted(set(listed) - set(self.dependencies_))


def installed_packages():
    fields = "${Package}\t${Essential}\t${Pre-Depends},${Depends}\t${Provides}\t${db:Status-Status}\n"
    output = subprocess.run(["dpkg-query", "-W", "-f", fields], stdout=subprocess.PIPE, check=True, text=True).stdout
    rows = [line.split("\t") for line in output.splitlines()]
    return Packages([row[:4] for row in rows if row[4] == "installed"])


def path_variants(path):
    """Returns the paths under which dpkg may know a file, with and without a leading /usr."""
    return {path, path[len("/usr"):] if path.startswith("/usr/") else "/usr" + path}


def owners_of(paths):
    """Maps each path to the set of packages that own it, which may be empty. Links are not resolved."""
    names = {path: path_variants(path) for path in paths}
    queried = sorted(set().union(*names.values())) if names else []
    owner = {}
    for start in range(0, len(queried), 500):
        # dpkg-query fails if any path is unknown, but still prints the owners of the others.
        found = subprocess.run(["dpkg-query", "-S", *queried[start:start + 500]], stdout=subprocess.PIPE,
                               stderr=subprocess.DEVNULL, check=False, text=True).stdout
        for line in found.splitlines():
            packages, separator, path = line.rpartition(": ")
            if separator and not packages.startswith("diversion "):
                owner.setdefault(path, set()).update(Packages.plain_name(each) for each in packages.split(","))
    return {path: set().union(*(owner.get(name, set()) for name in each)) for path, each in names.items()}


def kind_of(path, trace):
    if path in trace.executed:
        return "tool"
    if HEADER.search(path):
        return "header"
    if LIBRARY.search(path):
        return "library"
    return "other"


def used_files(trace, scratch):
    """Maps each file that the build used outside its own folders to two sets of owners: of the path and of its link target.

    Empty sets are left out.
    """
    outside = {path for path in trace.read | trace.executed if not path.startswith((scratch + "/", *UNOWNED_PATHS))}
    # Files that no longer exist were temporary.
    files = {path: os.path.realpath(path) for path in outside if os.path.isfile(path)}
    owners = owners_of({*files, *files.values()})
    return {path: [each for each in (owners[path], owners[target]) if each] for path, target in files.items()}


def format_owners(owners):
    return " ".join(sorted(set().union(*owners)))


def unlisted_uses(used, trace, allowed):
    """Returns a message for each file of a package that is not allowed or of no package.

    A link may belong to two packages, such as libx-dev and libx0; both have to be allowed.
    """
    problems = []
    for path, owners in sorted(used.items()):
        if owners and all(each & allowed for each in owners):
            continue
        source = "no package"
        if owners:
            refused = [each for each in owners if not each & allowed]
            source = f"{format_owners(refused)}, which {DEPLOY_FILE} neither lists nor requires"
        problems.append(f"{kind_of(path, trace)} {path} is from {source}")
    return problems


def unsupported_linkers(trace):
    """Returns the linkers whose inputs the trace cannot distinguish from the libraries that they load themselves."""
    names = {os.path.basename(os.path.realpath(path)) for path in trace.executed}
    return sorted(name for name in names if OTHER_LINKERS.search(name) and not GNU_LINKERS.search(name))


def unexpected_effects(trace, inside):
    """Returns a message for each file written outside the folders in `inside` and for each network connection."""
    allowed = (*inside, "/dev/")
    written = [f"the build wrote {path}" for path in sorted(trace.written) if not path.startswith(allowed)]
    return written + [f"the build used the network: {address}" for address in sorted(trace.connected)]


def copy_sources(folder):
    """Copies the tracked files as they are in the working tree, except the tests, because the build must not need them."""
    listed = subprocess.run(["git", "-C", ROOT, "ls-files", "-z"], stdout=subprocess.PIPE, check=True).stdout
    for name in listed.decode().split("\0"):
        source = os.path.join(ROOT, name)
        if not name or name.startswith(("tests/", "journal/")) or not os.path.isfile(source):
            continue
        target = os.path.join(folder, name)
        os.makedirs(os.path.dirname(target), exist_ok=True)
        shutil.copy(source, target)


def traced_build(command, folder, scratch):
    """Runs the build command in `folder` and returns its trace."""
    if not shutil.which("strace"):
        raise CannotRun("strace is not installed; see scripts/setup")
    log = os.path.join(scratch, "calls")
    temporary = os.path.join(scratch, "tmp")
    os.makedirs(temporary)
    environment = {"PATH": SEARCH_PATH, "HOME": temporary, "LANG": "C", "TMPDIR": temporary}
    traced = ["strace", "-f", "--seccomp-bpf", "-y", "-qq", "-s", "4096", "-e", "signal=none",
              "-e", "trace=execve,openat,open,connect", "-o", log]
    build = subprocess.run([*traced, "sh", "-c", command], cwd=folder, env=environment, stdin=subprocess.DEVNULL,
                           stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=BUILD_TIMEOUT_S, check=False, text=True)
    if build.returncode != 0:
        raise CannotRun(f"the build failed with {build.returncode}:\n" + "\n".join(build.stdout.splitlines()[-30:]))
    with open(log, encoding="utf-8", errors="replace") as calls:
        trace = parse_trace(calls)
    unknown = unsupported_linkers(trace)
    if unknown:
        raise CannotRun(f"the inputs of {', '.join(unknown)} cannot be determined, only those of GNU ld")
    return trace


# Writes a line for each used file: packages, kind and path, separated by tabs.
def write_list(file, used, trace):
    with open(file, "w", encoding="utf-8") as out:
        for path, owners in sorted(used.items(), key=lambda item: (format_owners(item[1]), item[0])):
            out.write(f"{format_owners(owners) or '-'}\t{kind_of(path, trace)}\t{path}\n")


def check_build(list_file):
    """Returns the problems of the deploy build in the working tree."""
    with open(os.path.join(ROOT, DEPLOY_FILE), "rb") as text:
        deploy = tomllib.load(text)
    packages = installed_packages()
    problems = [f"{name} is listed in {DEPLOY_FILE} but is not installed" for name in packages.missing(deploy["packages"])]
    with tempfile.TemporaryDirectory(prefix="limpettrestle-build-") as scratch:
        scratch = os.path.realpath(scratch)
        folder = os.path.join(scratch, "checkout")
        os.makedirs(folder)
        copy_sources(folder)
        trace = traced_build(deploy["build"], folder, scratch)
        used = used_files(trace, scratch)
        problems += unlisted_uses(used, trace, packages.closure(deploy["packages"]))
        problems += unexpected_effects(trace, (f"{folder}/target/", f"{scratch}/tmp/"))
        if list_file:
            write_list(list_file, used, trace)
    kinds = [kind_of(path, trace) for path in used]
    print(f"{kinds.count('header')} headers, {kinds.count('library')} libraries, {kinds.count('tool')} tools, "
          f"{len({name for owners in used.values() for name in format_owners(owners).split()})} packages")
    return problems


class TraceTest(unittest.TestCase):
    def test_files_read_and_programs_executed(self):
        trace = parse_trace(['7 openat(AT_FDCWD</src>, "/usr/include/a.h", O_RDONLY|O_NOCTTY) = 4</usr/include/a.h>',
                             '7 execve("/usr/bin/as", ["as", "-o", "x"], 0x7f /* 9 vars */) = 0'])
        self.assertEqual(trace.read, {"/usr/include/a.h"})
        self.assertEqual(trace.executed, {"/usr/bin/as"})

    def test_failed_calls_are_ignored(self):
        trace = parse_trace(['7 openat(AT_FDCWD</src>, "/usr/include/a.h", O_RDONLY) = -1 ENOENT (No such file or directory)',
                             '7 execve("/usr/local/bin/as", ["as"], 0x7f /* 9 vars */) = -1 ENOENT (No such file)'])
        self.assertFalse(trace.read or trace.executed)

    def test_interrupted_calls_of_two_processes(self):
        trace = parse_trace(['7 execve("/usr/bin/ld", ["ld"], 0x7f /* 9 vars */ <unfinished ...>',
                             '8 openat(AT_FDCWD</src>, "/usr/lib/libz.so", O_RDONLY <unfinished ...>',
                             '7 <... execve resumed>)             = 0',
                             '8 <... openat resumed>)             = 3</usr/lib/libz.so.1>'])
        self.assertEqual(trace.executed, {"/usr/bin/ld"})
        self.assertEqual(trace.read, {"/usr/lib/libz.so"})

    def test_relative_paths_start_at_the_folder_of_the_process(self):
        trace = parse_trace(['7 openat(AT_FDCWD</src/target>, "../x.h", O_RDONLY) = 3</src/x.h>'])
        self.assertEqual(trace.read, {"/src/x.h"})

    def test_linked_libraries_are_distinguished_from_loaded_ones(self):
        trace = parse_trace(['7 openat(AT_FDCWD</src>, "/lib/libbfd.so", O_RDONLY|O_CLOEXEC) = 3</lib/libbfd.so>',
                             '7 openat(AT_FDCWD</src>, "/lib/libz.so", O_RDONLY) = 3</lib/libz.so>'])
        self.assertEqual(trace.read, {"/lib/libz.so"})

    def test_writes_and_network(self):
        trace = parse_trace(['7 openat(AT_FDCWD</src>, "/usr/lib/x", O_WRONLY|O_CREAT, 0666) = 3</usr/lib/x>',
                             '7 openat(AT_FDCWD</src/target>, "y", O_RDWR|O_CREAT, 0666) = 3</src/target/y>',
                             '7 connect(3<TCP:[1]>, {sa_family=AF_INET, sin_port=htons(80)}, 16) = -1 ECONNREFUSED (refused)'])
        self.assertEqual(len(unexpected_effects(trace, ("/src/target/",))), 2)

    def test_unsupported_linkers(self):
        trace = Trace()
        trace.executed = {"/none/x86_64-linux-gnu-ld.bfd", "/none/ld", "/none/cmake", "/none/ld.gold", "/none/mold"}
        self.assertEqual(unsupported_linkers(trace), ["ld.gold", "mold"])


class PackagesTest(unittest.TestCase):
    RECORDS = [("base", "yes", ",", ""), ("app-dev", "no", ",lib-dev (>= 2), libc-dev, big | small", ""),
               ("lib-dev", "no", ",lib0:any (= 2)", ""), ("lib0", "no", ",", ""), ("libc6-dev", "no", ",", "libc-dev (= 1)"),
               ("small", "no", ",", ""), ("cache", "no", ",", ""), ("one", "no", ",", "virtual"), ("two", "no", ",", "virtual"),
               ("open", "no", ",virtual", "")]

    def test_required_packages_count_as_listed(self):
        allowed = Packages(self.RECORDS).closure(["app-dev"])
        self.assertEqual(allowed, {"base", "app-dev", "lib-dev", "lib0", "libc6-dev", "small"})

    def test_virtual_package_with_two_providers_has_to_be_listed(self):
        self.assertEqual(Packages(self.RECORDS).closure(["open"]), {"base", "open"})

    def test_listed_package_that_is_not_installed(self):
        self.assertEqual(Packages(self.RECORDS).missing(["one", "none"]), ["none"])

    def test_header_library_and_tool_of_an_unlisted_package(self):
        trace = Trace()
        trace.executed = {"/usr/bin/cache"}
        used = {"/usr/bin/cache": [{"cache"}], "/usr/include/lib.h": [{"lib-dev"}], "/usr/lib/libz.so": [],
                "/usr/include/c.h": [{"base"}]}
        problems = unlisted_uses(used, trace, {"base"})
        self.assertEqual([problem.split()[0] for problem in problems], ["tool", "header", "library"])
        self.assertIn("from no package", problems[2])

    def test_link_of_an_unlisted_package_into_a_listed_one(self):
        self.assertEqual(len(unlisted_uses({"/usr/lib/libx.so": [{"libx-dev"}, {"libx0"}]}, Trace(), {"libx0"})), 1)

    def test_packages_of_the_running_system(self):
        self.assertEqual(owners_of({"/bin/sh"})["/bin/sh"], {"dash"})
        self.assertIn("dash", installed_packages().closure([]))


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--list", metavar="FILE", help="write each used file with its package to FILE")
    options = parser.parse_args()
    suite = unittest.defaultTestLoader.loadTestsFromModule(sys.modules[__name__])
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=0).run(suite)
    try:
        problems = check_build(options.list)
    except (CannotRun, subprocess.TimeoutExpired) as error:
        print(f"build packages: {error}")
        return 2
    for problem in problems:
        print(problem)
    failed = len(result.failures) + len(result.errors) + len(problems)
    print(f"{result.testsRun + (0 if problems else 1) - len(result.failures) - len(result.errors)} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
