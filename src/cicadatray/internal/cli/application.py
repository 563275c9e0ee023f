"""The cyclopts application and its command groups."""

from cyclopts import App, Parameter

HELP = "Sends requests, runs jobs and operates a cicadatray deployment."
CONFIGURATION_HELP = """
Every command that talks to a deployment needs the address of an entry and a
file with the credential. They come from options, from CICADATRAY_ENTRIES
(comma-separated) and CICADATRAY_CREDENTIAL_FILE, or from
~/.config/cicadatray.json (CICADATRAY_CONFIG names another file):

  {"entries": ["10.20.1.20:8080"], "credential_file": "~/credential"}

Exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 not run, 5 outcome unknown,
6 unreachable, 7 conflict, 8 unauthorized, 9 not found, 10 timed out, 11 faulty
document, 130 interrupted. docs/callers.md says what to do for each.
"""

application = App(
    name="cicadatray",
    help=HELP,
    help_epilogue=CONFIGURATION_HELP,
    help_format="plaintext",
    default_parameter=Parameter(negative=(), show_default=False),
)
request_commands = App(name="request", help="Requests to endpoints.", help_epilogue="")
job_commands = App(name="job", help="Jobs on gangs of accelerators.", help_epilogue="")
configuration_commands = App(
    name="configuration", help="Inventory, rules and accounts (operators).", help_epilogue=""
)
member_commands = App(
    name="member", help="The control group's members (operators).", help_epilogue=""
)
evacuation_commands = App(
    name="evacuation", help="Evacuations of data centres (operators).", help_epilogue=""
)
application.command(request_commands)
application.command(job_commands)
application.command(configuration_commands)
application.command(member_commands)
application.command(evacuation_commands)


def format_examples(*lines: str) -> str:
    """Returns the epilogue of a command's help, with one example per line."""
    return "\n".join(["Examples:", *[f"  cicadatray {line}" for line in lines]])
