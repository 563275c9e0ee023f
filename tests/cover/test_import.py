"""Tests that the package can be imported."""


def test_package_imports() -> None:
    """Guards against a package that cannot be imported after installation."""
    import cicadatray

    assert cicadatray.__doc__
