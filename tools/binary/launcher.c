/*
 * Start the interpreter that is linked into this file, with this file itself as
 * the only place to look for modules. Nothing is unpacked and no environment
 * variable of Python is read, so the host needs neither Python nor a disk.
 */
#include <Python.h>
#include <unistd.h>

#define PATH_BYTES 4096
#define EXIT_SOFTWARE 70

static void stop_on(PyStatus status, PyConfig *config) {
    if (PyStatus_Exception(status)) {
        PyConfig_Clear(config);
        Py_ExitStatusException(status);
    }
}

int main(int argc, char **argv) {
    char path[PATH_BYTES];
    ssize_t length = readlink("/proc/self/exe", path, sizeof path - 1);
    if (length < 0) {
        perror("poplarrelay: cannot find its own file");
        return EXIT_SOFTWARE;
    }
    path[length] = 0;

    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    config.site_import = 0;
    config.write_bytecode = 0;
    config.parse_argv = 0;
    config.pathconfig_warnings = 0;
    config.buffered_stdio = 1;

    wchar_t *wide = Py_DecodeLocale(path, NULL);
    if (wide == NULL) {
        fprintf(stderr, "poplarrelay: the path of its file cannot be decoded\n");
        return EXIT_SOFTWARE;
    }
    stop_on(PyConfig_SetString(&config, &config.program_name, wide), &config);
    stop_on(PyConfig_SetString(&config, &config.executable, wide), &config);
    config.module_search_paths_set = 1;
    stop_on(PyWideStringList_Append(&config.module_search_paths, wide), &config);
    PyMem_RawFree(wide);
    stop_on(PyConfig_SetBytesArgv(&config, argc, argv), &config);
    stop_on(PyConfig_SetBytesString(&config, &config.run_module, "binary_boot"),
            &config);
    stop_on(Py_InitializeFromConfig(&config), &config);
    PyConfig_Clear(&config);
    return Py_RunMain();
}
